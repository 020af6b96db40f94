//! Stand-ins for what surrounds the hosts: the platform's key-value service, engines, clients, and
//! a starter of host processes. Standard library only.
#![allow(dead_code)]

pub mod engine;
pub mod host;
pub mod http;
pub mod json;
pub mod process;
pub mod record;
pub mod store;
