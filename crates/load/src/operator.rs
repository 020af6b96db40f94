//! Operators' commands to a running host.

use mulberryrack_daemon::{config::Tls, peer};
use mulberryrack_host::operator::{Answer, Command};
use mulberryrack_wire::operator::{Command as Frame, operator_client::OperatorClient};
use std::{fmt, io, time::Duration};
use tokio::runtime::{Builder, Runtime};
use tonic::transport::Channel;

const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);
/// Largest answer in bytes: a table of a megabyte, quoted.
const MAX_ANSWER: usize = 8 << 20;

/// Why there is no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// No host could be reached; nothing was sent.
    Unreachable(String),
    /// The command was sent, and no answer came.
    Unanswered(String),
    /// The answer could not be read.
    Malformed(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable(reason) => write!(f, "no host could be reached: {reason}"),
            Self::Unanswered(reason) => write!(f, "no answer came: {reason}"),
            Self::Malformed(reason) => write!(f, "the answer could not be read: {reason}"),
        }
    }
}

impl std::error::Error for Error {}

/// A connection to the first host that could be reached.
#[derive(Debug)]
pub struct Link {
    runtime: Runtime,
    client: OperatorClient<Channel>,
}

impl Link {
    /// Connects to the first of `hosts` that can be reached.
    ///
    /// # Errors
    ///
    /// None can be reached.
    pub fn open(hosts: &[String], tls: Option<&Tls>) -> Result<Self, Error> {
        let unreachable = |error: io::Error| Error::Unreachable(error.to_string());
        let runtime = Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(unreachable)?;
        let mut reason = "no host was named".to_owned();
        for host in hosts {
            match runtime.block_on(peer::connect(host, tls)) {
                Ok(channel) => {
                    let client = OperatorClient::new(channel).max_decoding_message_size(MAX_ANSWER);
                    return Ok(Self { runtime, client });
                }
                Err(error) => reason = format!("{host}: {error}"),
            }
        }
        Err(Error::Unreachable(reason))
    }

    /// Sends a command and waits for its answer.
    ///
    /// # Errors
    ///
    /// No answer came, or it could not be read.
    pub fn ask(&mut self, command: &Command) -> Result<Answer, Error> {
        let json = serde_json::to_string(command)
            .map_err(|error| Error::Unreachable(error.to_string()))?;
        let Self { runtime, client } = self;
        let answer = runtime.block_on(async {
            let exchange = async {
                let mut stream = client.run(Frame { json }).await?.into_inner();
                stream.message().await
            };
            tokio::time::timeout(ANSWER_TIMEOUT, exchange).await
        });
        let frame = answer
            .map_err(|_| Error::Unanswered("the host did not answer in time".to_owned()))?
            .map_err(|status| Error::Unanswered(status.message().to_owned()))?
            .ok_or_else(|| Error::Unanswered("the host ended the connection".to_owned()))?;
        serde_json::from_str(&frame.json)
            .map_err(|error| Error::Malformed(format!("{error}: {}", frame.json)))
    }
}
