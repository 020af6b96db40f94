//! Prints answers of hosts, as text or as JSON.

use crate::exit::{Code, Error, Result};
use mulberryrack_host::operator::{Answer, Status};

/// Prints an answer and returns the exit code for it.
pub fn answer(answer: &Answer, json: bool) -> Result {
    if json {
        let text = serde_json::to_string(answer).map_err(|error| Error::Failed {
            reason: error.to_string(),
        })?;
        println!("{text}");
    } else {
        print_text(answer);
    }
    Ok(exit_code(answer))
}

/// The exit code for an answer.
pub const fn exit_code(answer: &Answer) -> Code {
    match answer {
        Answer::Invalid { .. } | Answer::Lost { .. } | Answer::Failed { .. } => Code::Refused,
        Answer::Unknown { .. } => Code::Unknown,
        _ => Code::Done,
    }
}

fn print_text(answer: &Answer) {
    match answer {
        Answer::Checked { version, changes } => {
            println!("The table can be accepted. Changes to version {version}:");
            print_lines(changes);
        }
        Answer::Invalid { problems } => {
            println!(
                "The table has {} problems; nothing was changed:",
                problems.len()
            );
            print_lines(problems);
        }
        Answer::Accepted { version } => println!("Version {version} is accepted."),
        Answer::Lost {
            version,
            author,
            changes,
        } => {
            println!("{author} was first with version {version}; nothing was changed.");
            println!("From your table to that version:");
            print_lines(changes);
        }
        Answer::Table(version) => print!("{}", version.csv),
        Answer::History { versions } => {
            for version in versions {
                println!(
                    "{:>8}  {:<20}  {}",
                    version.version, version.author, version.change
                );
            }
        }
        Answer::Progress { version, hosts } => {
            println!("Newest version: {version}");
            for host in hosts {
                println!("{:<24}  {}", host.host, host.version);
            }
        }
        Answer::Status(status) => print_status(status),
        Answer::Explained {
            row,
            lines: explanation,
        } => {
            println!("{row}:");
            print_lines(explanation);
        }
        Answer::Draining => println!("The host has begun to leave."),
        Answer::Failed { reason } => println!("Not done: {reason}."),
        Answer::Unknown { reason } => println!("Not known whether it was done: {reason}."),
    }
}

fn print_status(status: &Status) {
    let current = if status.current {
        "current"
    } else {
        "not shown to be current"
    };
    println!(
        "Asked {}: table version {} ({current}), {} open requests.",
        status.host, status.version, status.requests
    );
    println!("\nHosts:");
    for host in &status.hosts {
        println!(
            "  {:<20} {:<16} {:<10} version {}",
            host.name, host.data_centre, host.standing, host.version
        );
    }
    println!("\nEngines:");
    print_lines(&status.engines);
}

fn print_lines(lines: &[String]) {
    for line in lines {
        println!("  {line}");
    }
}
