//! Drives running deployments over real sockets.
//!
//! [`cluster::Cluster`] starts a sample deployment's stand-ins and daemons in one process
//! on loopback; [`traffic::Plan`] sends open-loop requests to any deployment and checks
//! every answer.

pub mod cluster;
pub mod operator;
pub mod traffic;
