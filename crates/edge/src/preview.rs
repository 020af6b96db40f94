//! Answers operators who ask where a request would go now, and why. Nothing is sent, charged or
//! recorded.

use crate::{
    admission,
    endpoint::status_only,
    shared::{Phase, Shared},
    usage,
};
use bytes::Bytes;
use http::{Response, StatusCode, Uri, header, request};
use http_body_util::Full;
use mulberryrack_core::{Time, outcome::Refusal};
use mulberryrack_gate::{Considered, Decision, Preview, Standing};
use mulberryrack_site::{Dialect, RequestHead};
use serde_json::{Map, Value, json};
use std::time::Duration;

/// Start of the paths that ask for a preview; the rest is the path of the caller's request.
const PATH_PREFIX: &str = "/preview";
/// Shortest time between two previews. Each copies the state of the gate, which may take longer than
/// all requests of that time.
pub const MIN_INTERVAL: Duration = Duration::from_secs(1);

/// The answer to a question that has the head of a caller's request, with [`PATH_PREFIX`] before its
/// path; `None` if the path is another one.
pub fn respond<D: Dialect>(
    shared: &Shared<D>,
    head: &request::Parts,
) -> Option<Response<Full<Bytes>>> {
    let target = head.uri.path_and_query()?.as_str();
    let target = target.strip_prefix(PATH_PREFIX)?;
    let mut head = head.clone();
    head.uri = target.parse::<Uri>().ok()?;
    let now = shared.clock.now();
    if now < shared.next_preview.get() {
        return Some(status_only(StatusCode::TOO_MANY_REQUESTS));
    }
    shared.next_preview.set(now + MIN_INTERVAL);
    let Ok(request_head) = shared.dialect.read_request_head(&head) else {
        return Some(status_only(StatusCode::BAD_REQUEST));
    };
    let target = target.to_owned();
    let text = describe(shared, now, head.method.as_str(), &target, request_head).to_string();
    let mut response = Response::new(Full::new(text.into()));
    let json = header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    Some(response)
}

fn describe<D: Dialect>(
    shared: &Shared<D>,
    now: Time,
    method: &str,
    target: &str,
    head: RequestHead,
) -> Value {
    let mut answer = Map::new();
    answer.insert("host".into(), json!(&*shared.settings.host));
    let version = {
        let gate = shared.gate.borrow();
        gate.config().map(|config| config.version)
    };
    answer.insert("configuration".into(), json!(version));
    let is_current = shared.freshness.is_current();
    answer.insert("configuration-is-current".into(), json!(is_current));
    let is_ready = shared.phase.get() == Phase::Serving;
    answer.insert("is-ready".into(), json!(is_ready));
    let held_bytes = shared.holdings.as_ref().map(|holdings| holdings.held());
    answer.insert("held-bytes".into(), json!(held_bytes));
    match decide(shared, now, method, target, head, &mut answer) {
        Ok(preview) => insert_preview(now, &preview, &mut answer),
        Err(refusal) => insert_refusal(refusal, &mut answer),
    }
    Value::Object(answer)
}

/// Takes the same steps as for a caller's request: key, quota, then the gate.
fn decide<D>(
    shared: &Shared<D>,
    now: Time,
    method: &str,
    target: &str,
    head: RequestHead,
    answer: &mut Map<String, Value>,
) -> Result<Preview, Refusal> {
    let organisation = admission::find_organisation(shared, &head)?;
    if let Some(organisation) = &organisation {
        answer.insert("organisation".into(), json!(&*organisation.name));
        usage::preview(shared, organisation, &head)?;
    }
    // The body is not known, so that no evidence against the whole request is found.
    let fingerprint = mulberryrack_site::request::fingerprint(method, &head.host, target, &[]);
    let gate = shared.gate.borrow();
    gate.preview(now, head, fingerprint, organisation)
}

fn insert_refusal(refusal: Refusal, answer: &mut Map<String, Value>) {
    answer.insert("decision".into(), json!("refuse"));
    answer.insert("reason".into(), json!(refusal.reason.label()));
    let retry_after = refusal.retry_after.map(|delay| delay.as_secs_f64());
    answer.insert("retry-after-s".into(), json!(retry_after));
}

fn insert_preview(now: Time, preview: &Preview, answer: &mut Map<String, Value>) {
    answer.insert("route".into(), json!(&*preview.route));
    answer.insert("service".into(), json!(&*preview.service));
    answer.insert("rank".into(), json!(preview.rank));
    let (decision, until) = match &preview.decision {
        Decision::Refuse(refusal) => {
            insert_refusal(*refusal, answer);
            ("refuse", None)
        }
        Decision::Dispatch(target) => {
            answer.insert("upstream".into(), json!(&*target.name));
            ("dispatch", None)
        }
        Decision::Hold(until) => ("hold", Some(until)),
        Decision::AwaitPlacement(until) => ("await-placement", Some(until)),
        Decision::AwaitPermit(until) => ("await-permit", Some(until)),
        Decision::AwaitToken(until) => ("await-token", Some(until)),
        Decision::Fail => ("fail", None),
    };
    answer.insert("decision".into(), json!(decision));
    if let Some(until) = until {
        let wait_s = until.since(now).as_secs_f64();
        answer.insert("decide-again-in-s".into(), json!(wait_s));
    }
    let upstreams: Vec<Value> = preview.upstreams.iter().map(describe_upstream).collect();
    answer.insert("upstreams".into(), Value::Array(upstreams));
}

fn describe_upstream(considered: &Considered) -> Value {
    let mut row = Map::new();
    row.insert("name".into(), json!(&*considered.name));
    let standing = considered.standing;
    row.insert("standing".into(), json!(standing.label()));
    if let Standing::Eligible {
        cost_ms,
        backlog_ms,
        read_ms,
        requests,
        slowness,
        in_cooldown,
    } = standing
    {
        row.insert("cost-ms".into(), json!(rounded(cost_ms)));
        row.insert("backlog-ms".into(), json!(rounded(backlog_ms)));
        row.insert("read-ms".into(), json!(rounded(read_ms)));
        row.insert("requests".into(), json!(rounded(requests)));
        row.insert("slowness".into(), json!(rounded(slowness)));
        row.insert("in-cooldown".into(), json!(in_cooldown));
    }
    Value::Object(row)
}

fn rounded(value: f64) -> f64 {
    (value * 100.0).round() / 100.0
}
