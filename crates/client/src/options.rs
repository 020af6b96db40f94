//! Options of the commands that ask a host.

use crate::exit::{Error, Result};
use clap::Args;
use mulberryrack_daemon::config::Tls;
use mulberryrack_load::operator::{self, Link};

/// Options of the commands that ask a host.
#[derive(Clone, Debug, Args)]
pub struct Options {
    /// Addresses of hosts, as IP:port of their ports for other hosts and operators. The first
    /// host that can be reached is asked.
    #[arg(
        long = "host",
        value_name = "IP:PORT",
        env = "MULBERRYRACK_HOSTS",
        value_delimiter = ',',
        required = true
    )]
    pub hosts: Vec<String>,
    /// Certificate of the authority that signs the certificates of hosts and operators, PEM.
    #[arg(long, value_name = "FILE", requires = "certificate_file")]
    authority_file: Option<String>,
    /// Certificate of this operator, PEM.
    #[arg(long, value_name = "FILE", requires = "key_file")]
    certificate_file: Option<String>,
    /// Private key of this operator, PEM.
    #[arg(long, value_name = "FILE", requires = "authority_file")]
    key_file: Option<String>,
    /// Prints the answer as JSON.
    #[arg(long)]
    pub json: bool,
}

impl Options {
    /// Connects to the first host that can be reached.
    pub fn open(&self) -> Result<Link> {
        Ok(Link::open(&self.hosts, self.tls().as_ref())?)
    }

    /// Connects to the first host in the list, and to no other.
    pub fn open_first(&self) -> Result<Link> {
        Ok(Link::open(&self.hosts[..1], self.tls().as_ref())?)
    }

    /// The certificate files, if all of them are given.
    fn tls(&self) -> Option<Tls> {
        Some(Tls {
            authority_file: self.authority_file.as_deref()?.into(),
            certificate_file: self.certificate_file.as_deref()?.into(),
            key_file: self.key_file.as_deref()?.into(),
        })
    }
}

impl From<operator::Error> for Error {
    fn from(error: operator::Error) -> Self {
        match error {
            operator::Error::Unreachable(reason) => Self::Unreachable { reason },
            operator::Error::Unanswered(reason) => Self::Unanswered { reason },
            operator::Error::Malformed(answer) => Self::Unexpected { answer },
        }
    }
}
