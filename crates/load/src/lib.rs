//! Starts deployments on loopback and sends them load over real sockets.
//!
//! [`cluster::Cluster`] starts a sample deployment's stand-ins and daemons in one process.
//! [`traffic::Plan`] says which requests to send to a deployment; [`traffic::Plan::start`]
//! sends them open-loop, and the [`traffic::Tally`] counts their outcomes.
//! [`operator::Link`] sends operators' commands to a host.

pub mod cluster;
pub mod operator;
pub mod traffic;
