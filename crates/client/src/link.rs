//! Which hosts to ask, and how to print.

use crate::exit::{Error, Result};
use clap::Args;
use mulberryrack_daemon::config::Tls;
use mulberryrack_load::operator::{self, Link};

/// Which hosts to ask, and how to print.
#[derive(Clone, Debug, Args)]
pub struct Options {
    /// Addresses of hosts for peers and operators, as IP:port; the first that answers is
    /// asked.
    #[arg(
        long = "host",
        value_name = "IP:PORT",
        env = "MULBERRYRACK_HOSTS",
        value_delimiter = ',',
        required = true
    )]
    pub hosts: Vec<String>,
    /// Certificate of the authority that signs all others, PEM.
    #[arg(long, value_name = "FILE", requires = "certificate_file")]
    authority_file: Option<String>,
    /// Certificate of this operator, PEM.
    #[arg(long, value_name = "FILE", requires = "key_file")]
    certificate_file: Option<String>,
    /// Key of this operator, PEM.
    #[arg(long, value_name = "FILE", requires = "authority_file")]
    key_file: Option<String>,
    /// Prints JSON.
    #[arg(long)]
    pub json: bool,
}

impl Options {
    /// Connects to the first host that can be reached.
    pub fn open(&self) -> Result<Link> {
        Ok(Link::open(&self.hosts, self.tls().as_ref())?)
    }

    /// Connects to the host named first, and to no other.
    pub fn open_first(&self) -> Result<Link> {
        Ok(Link::open(&self.hosts[..1], self.tls().as_ref())?)
    }

    /// The files of certificates, if they are named.
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
