//! Session settings that agateport itself implements.

use super::caller::Caller;
use super::local::Answer;
use super::priority;
use super::query::Query;
use super::read_index;
use agateport_domain::owner::Policy;
use agateport_domain::prelude::*;
use agateport_domain::request::key;
use agateport_domain::request::setting::Setting;
use agateport_domain::session;
use agateport_wire::postgres::{self, Backend, WATERMARK};

/// Setting with the idempotency key of the next write.
const KEY: &str = "agateport.key";

/// Read-only setting with the outcome of the session's last key.
const OUTCOME: &str = "agateport.outcome";

/// The reply to a statement that reads or changes one of these settings.
pub enum Reply {
    /// An answer of the frontend.
    Answer(Answer),
    /// An error for the caller.
    Error(Backend),
    /// The new priority of the session; `None` resets it.
    Priority(Option<PriorityId>),
    /// The outcome of the named key, which an owner must resolve.
    Resolve(String),
}

/// Returns the setting that a query reads or changes, if it consists of one statement
/// about one of agateport's own settings.
pub fn requested(query: &Query) -> Option<Setting> {
    match query.described.settings.as_slice() {
        [setting] if setting.is_own() && query.described.count == 1 => Some(setting.clone()),
        _ => None,
    }
}

/// Answers a statement about one of agateport's own settings.
pub async fn answer<P>(caller: &Caller<P>, query: &Query, setting: &Setting) -> Reply
where
    P: Policy + Send + Sync + 'static,
{
    match setting {
        Setting::Show { name } => show(caller, query, name),
        Setting::Set { .. } | Setting::Reset { .. } | Setting::ResetAll if !query.runs() => {
            Reply::Answer(Answer::Command("SET"))
        }
        Setting::Set { name, value, .. } if name == WATERMARK => set_watermark(caller, value).await,
        Setting::Set { name, value, .. } if name == KEY => set_key(caller, value),
        Setting::Reset { name } if name == KEY => set_key(caller, ""),
        Setting::Set { name, value, .. } if name == priority::SETTING => {
            set_priority(caller, value)
        }
        Setting::Reset { name } if name == priority::SETTING => Reply::Priority(None),
        _ => reject("42704", "there is no such setting, or it can't be set"),
    }
}

/// Returns the answer that shows the outcome of a key.
pub fn outcome(outcome: key::Outcome) -> Answer {
    Answer::Value {
        name: OUTCOME.to_owned(),
        value: Some(outcome.name().to_owned()),
    }
}

fn show<P>(caller: &Caller<P>, query: &Query, name: &str) -> Reply
where
    P: Policy + Send + Sync + 'static,
{
    let found = caller.session(|session| {
        let watermark = session.watermark(&caller.group);
        let key = session.key().map(ToOwned::to_owned);
        let last_key = session.last_key().map(ToOwned::to_owned);
        (watermark, key, last_key)
    });
    let (watermark, key, last_key) = found.unwrap_or_default();
    let value = match name {
        WATERMARK => watermark.map(|watermark| watermark.to_string()),
        KEY => key,
        OUTCOME if !query.runs() => None,
        OUTCOME => match last_key {
            Some(name) => return Reply::Resolve(name),
            None => return reject("22023", "the session has used no key"),
        },
        _ => return reject("42704", "there is no such setting"),
    };
    Reply::Answer(Answer::Value {
        name: name.to_owned(),
        value,
    })
}

async fn set_watermark<P>(caller: &Caller<P>, value: &str) -> Reply
where
    P: Policy + Send + Sync + 'static,
{
    let checked = match value.parse() {
        Ok(watermark) => check(caller, watermark).await,
        Err(error) => Err(error),
    };
    match checked {
        Ok(watermark) => {
            caller.session(|session| session.observe(&caller.group, watermark));
            Reply::Answer(Answer::Command("SET"))
        }
        Err(error) => reject("22023", &error.to_string()),
    }
}

async fn check<P>(caller: &Caller<P>, watermark: Watermark) -> Result<Watermark, session::Error>
where
    P: Policy + Send + Sync + 'static,
{
    let bundle = caller.node.bundle();
    if let Some(group) = bundle
        .as_ref()
        .and_then(|bundle| bundle.group(&caller.group))
    {
        read_index::check(&caller.node, group, watermark).await?;
    }
    Ok(watermark)
}

fn set_key<P>(caller: &Caller<P>, value: &str) -> Reply
where
    P: Policy + Send + Sync + 'static,
{
    if !value.is_empty() && !key::is_valid(value) {
        return reject("22023", "the key is too long");
    }
    let key = (!value.is_empty()).then(|| value.to_owned());
    caller.session(|session| session.set_key(key));
    Reply::Answer(Answer::Command("SET"))
}

fn set_priority<P>(caller: &Caller<P>, name: &str) -> Reply
where
    P: Policy + Send + Sync + 'static,
{
    let bundle = caller.node.bundle();
    if bundle.is_some_and(|bundle| bundle.priority(name).is_some()) {
        return Reply::Priority(Some(name.into()));
    }
    reject("22023", &priority::unknown(name))
}

fn reject(code: &str, text: &str) -> Reply {
    Reply::Error(postgres::error("ERROR", code, text.to_owned()))
}
