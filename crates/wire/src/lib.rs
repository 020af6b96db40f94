//! Messages between hosts, and between the operators' client and hosts.
//!
//! The modules are generated from the files under `proto/` by the developer task
//! `cargo run -p mulberryrack-codegen` and are committed.

#[allow(missing_docs, clippy::pedantic, clippy::all)]
#[rustfmt::skip]
pub mod member { include!("generated/mulberryrack.member.rs"); }

#[allow(missing_docs, clippy::pedantic, clippy::all)]
#[rustfmt::skip]
pub mod ledger { include!("generated/mulberryrack.ledger.rs"); }

#[allow(missing_docs, clippy::pedantic, clippy::all)]
#[rustfmt::skip]
pub mod route { include!("generated/mulberryrack.route.rs"); }

#[allow(missing_docs, clippy::pedantic, clippy::all)]
#[rustfmt::skip]
pub mod place { include!("generated/mulberryrack.place.rs"); }

#[allow(missing_docs, clippy::pedantic, clippy::all)]
#[rustfmt::skip]
pub mod peer { include!("generated/mulberryrack.peer.rs"); }

#[allow(missing_docs, clippy::pedantic, clippy::all)]
#[rustfmt::skip]
pub mod operator { include!("generated/mulberryrack.operator.rs"); }

#[allow(missing_docs, clippy::pedantic, clippy::all)]
#[rustfmt::skip]
pub mod plan { include!("generated/mulberryrack.plan.rs"); }
