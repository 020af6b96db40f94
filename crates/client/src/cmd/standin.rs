//! `mulberryrack standin`

use crate::{
    cmd::replay::read_deployment,
    exit::{Code, Error, Result},
};
use mulberryrack_standin::world::{KV, LIST, World};
use std::{io, path::PathBuf};

/// Runs stand-ins for a deployment's platform, engines and services on loopback, until
/// standard input is closed.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// Directory with the deployment.
    #[arg(long, value_name = "DIR")]
    deployment: PathBuf,
}

impl Args {
    /// Starts the stand-ins, prints their addresses and `ready`, and waits for the end of
    /// standard input.
    pub fn run(self) -> Result {
        let deployment = read_deployment(&self.deployment)?;
        let world = World::start(&deployment).map_err(|error| Error::Failed {
            reason: error.to_string(),
        })?;
        for name in [KV, LIST] {
            if let Some(address) = world.address(name) {
                println!("{name} {address}");
            }
        }
        for listing in world.upstreams() {
            println!("{} {}", listing.name, listing.address);
        }
        println!("ready");
        // Input is ignored; its end tells the stand-ins to stop.
        let _ = io::copy(&mut io::stdin(), &mut io::sink());
        Ok(Code::Done)
    }
}
