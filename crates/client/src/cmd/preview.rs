//! `mulberryrack preview`

use crate::exit::{Code, Error, Result};
use serde_json::Value;
use std::time::Duration;
use ureq::http::Request;

/// Longest wait for a host's answer.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Arguments of `mulberryrack preview`.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// Address for metrics of the host that is asked.
    #[arg(long, value_name = "IP:PORT")]
    metrics: String,
    /// Header of the caller's request, as NAME: VALUE. May be given several times; `Host` selects
    /// the route together with the path.
    #[arg(long = "header", value_name = "HEADER")]
    headers: Vec<String>,
    /// Path of the caller's request, with its query.
    path: String,
    /// Prints the answer as JSON.
    #[arg(long)]
    json: bool,
}

impl Args {
    /// Asks a host where the request would go now, and prints the answer. The request is not sent.
    pub fn run(self) -> Result {
        let answer = self.ask()?;
        if self.json {
            println!("{answer:#}");
        } else {
            print(&answer);
        }
        Ok(Code::Done)
    }

    fn ask(&self) -> Result<Value> {
        let url = format!("http://{}/preview{}", self.metrics, self.path);
        let mut request = Request::get(url);
        for header in &self.headers {
            let Some((name, value)) = header.split_once(':') else {
                let reason = format!("header `{header}` is not of the form NAME: VALUE");
                return Err(Error::Failed { reason });
            };
            request = request.header(name.trim(), value.trim());
        }
        let request = request.body(()).map_err(|error| Error::Failed {
            reason: error.to_string(),
        })?;
        let agent: ureq::Agent = ureq::Agent::config_builder()
            .timeout_global(Some(TIMEOUT))
            .http_status_as_error(false)
            .build()
            .into();
        let mut response = agent.run(request).map_err(|error| Error::Unreachable {
            reason: error.to_string(),
        })?;
        let status = response.status();
        let text = response.body_mut().read_to_string();
        let answer = text.ok().and_then(|text| serde_json::from_str(&text).ok());
        answer.ok_or_else(|| Error::Unexpected {
            answer: format!("status {status}: {}", meaning(status.as_u16())),
        })
    }
}

/// What a host means by a status without a body.
const fn meaning(status: u16) -> &'static str {
    match status {
        400 => "the headers are not those of a caller's request",
        404 => "the address is not that for metrics, or the host is of an earlier version",
        429 => "the host answers one such question a second",
        _ => "no answer to the question",
    }
}

/// Prints an answer for people: a line for each field, then a line for each upstream.
fn print(answer: &Value) {
    let fields = answer.as_object().into_iter().flatten();
    for (name, value) in fields.filter(|(name, _)| *name != "upstreams") {
        println!("{name}: {}", plain(value));
    }
    let upstreams = answer["upstreams"].as_array().into_iter().flatten();
    for upstream in upstreams {
        let fields = upstream.as_object().into_iter().flatten();
        let line: Vec<String> = fields
            .map(|(name, value)| format!("{name}={}", plain(value)))
            .collect();
        println!("  {}", line.join(" "));
    }
}

fn plain(value: &Value) -> String {
    value
        .as_str()
        .map_or_else(|| value.to_string(), str::to_owned)
}
