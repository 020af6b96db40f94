//! The connection to a host.

use crate::exit::{Error, Result};
use clap::Args;
use mulberryrack_daemon::{config::Tls, peer};
use mulberryrack_host::operator::{Answer, Command};
use mulberryrack_wire::operator::{Command as Frame, operator_client::OperatorClient};
use std::time::Duration;
use tokio::runtime::{Builder, Runtime};
use tonic::transport::Channel;

const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);
/// Largest answer in bytes: a table of a megabyte, quoted.
const MAX_ANSWER: usize = 8 << 20;

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
    /// The files of certificates, if they are named.
    fn tls(&self) -> Option<Tls> {
        Some(Tls {
            authority_file: self.authority_file.as_deref()?.into(),
            certificate_file: self.certificate_file.as_deref()?.into(),
            key_file: self.key_file.as_deref()?.into(),
        })
    }
}

/// A connection to the first host that could be reached.
#[derive(Debug)]
pub struct Link {
    runtime: Runtime,
    client: OperatorClient<Channel>,
}

impl Link {
    /// Connects to the first host that can be reached.
    pub fn open(options: &Options) -> Result<Self> {
        Self::open_one_of(options, &options.hosts)
    }

    /// Connects to the host named first, and to no other.
    pub fn open_first(options: &Options) -> Result<Self> {
        Self::open_one_of(options, &options.hosts[..1])
    }

    fn open_one_of(options: &Options, hosts: &[String]) -> Result<Self> {
        let tls = options.tls();
        let runtime = Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(|error| Error::Failed {
                reason: error.to_string(),
            })?;
        let mut reason = "no host was named".to_owned();
        for host in hosts {
            match runtime.block_on(peer::connect(host, tls.as_ref())) {
                Ok(channel) => {
                    let client = OperatorClient::new(channel).max_decoding_message_size(MAX_ANSWER);
                    return Ok(Self { runtime, client });
                }
                Err(error) => reason = format!("{host}: {error}"),
            }
        }
        Err(Error::Unreachable { reason })
    }

    /// Sends a command and waits for its answer.
    pub fn ask(&mut self, command: &Command) -> Result<Answer> {
        let json = serde_json::to_string(command).map_err(|error| Error::Failed {
            reason: error.to_string(),
        })?;
        let Self { runtime, client } = self;
        let answer = runtime.block_on(tokio::time::timeout(ANSWER_TIMEOUT, async {
            let mut stream = client.run(Frame { json }).await?.into_inner();
            stream.message().await
        }));
        let frame = answer
            .map_err(|_| Error::Unanswered {
                reason: "the host did not answer in time".to_owned(),
            })?
            .map_err(|status| Error::Unanswered {
                reason: status.message().to_owned(),
            })?
            .ok_or_else(|| Error::Unanswered {
                reason: "the host ended the connection".to_owned(),
            })?;
        serde_json::from_str(&frame.json).map_err(|error| Error::Unexpected {
            answer: format!("{error}: {}", frame.json),
        })
    }
}
