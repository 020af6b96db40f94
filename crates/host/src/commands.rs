//! How a host carries out operators' commands.

use crate::{
    Effect, Host, answers,
    operator::{self, Answer, Applied, Command, Status},
};
use mulberryrack_core::{Name, view::Standing};
use mulberryrack_table::{Row, Table, csv};
use stakker::call;
use std::sync::Arc;

impl Host {
    /// Carries out a command. The answer is emitted as an effect: at once, or when the key-value
    /// store has been called.
    pub(crate) fn run_command(&mut self, ticket: u64, command: Command) {
        let answer = match command {
            Command::Check { csv } => self.check(&csv),
            Command::Accept {
                csv,
                parent,
                change,
                author,
            } => match self.propose(ticket, &csv, parent, change, author) {
                Some(answer) => answer,
                None => return,
            },
            Command::Show { version: None } => self.show(),
            Command::Show { version } => return self.read(ticket, version),
            Command::History => return self.read(ticket, None),
            Command::Progress => self.progress(),
            Command::Status => self.status(),
            Command::Explain { row } => self.explain(row),
            Command::Drain => {
                self.start_drain();
                Answer::Draining
            }
        };
        self.emit(Effect::Operator { ticket, answer });
    }

    /// Reads one stored version, or the history; the membership area emits the answer.
    fn read(&mut self, ticket: u64, version: Option<u64>) {
        call!(
            [self.member],
            handle(mulberryrack_member::Input::Read { ticket, version })
        );
    }

    /// Parses a table and checks that the engines have room for the minimum number of copies of
    /// each row. Returns the rows, or the answer that lists the problems.
    fn parse_and_check(&mut self, text: &str) -> Result<Arc<[Row]>, Answer> {
        let rows = csv::parse(text).map_err(|problems| Answer::Invalid {
            problems: problems.iter().map(ToString::to_string).collect(),
        })?;
        let table = Table {
            version: 0,
            change: Name::default(),
            author: Name::default(),
            rows: rows.clone(),
        };
        let shortfalls = mulberryrack_place::check(&table, &self.listed_engines).err();
        match shortfalls {
            // Before the platform's list is first read, no engine is known and shortfalls mean
            // nothing. They are ignored as well while the list has no engine.
            Some(shortfalls) if !self.listed_engines.is_empty() => Err(Answer::Invalid {
                problems: shortfalls.iter().map(answers::shortfall).collect(),
            }),
            _ => Ok(rows),
        }
    }

    /// Compares a table with the one in force.
    fn check(&mut self, text: &str) -> Answer {
        match self.parse_and_check(text) {
            Err(answer) => answer,
            Ok(rows) => {
                let table = self.table();
                let old = table.as_ref().map_or(&[][..], |table| &table.rows);
                Answer::Checked {
                    version: table.as_ref().map_or(0, |table| table.version),
                    changes: answers::changes(old, &rows),
                }
            }
        }
    }

    /// Proposes a table to the membership area, which emits the answer. Returns the answer if
    /// the table has problems and nothing is proposed.
    fn propose(
        &mut self,
        ticket: u64,
        text: &str,
        parent: u64,
        change: Name,
        author: Name,
    ) -> Option<Answer> {
        let rows = match self.parse_and_check(text) {
            Err(answer) => return Some(answer),
            Ok(rows) => rows,
        };
        call!(
            [self.member],
            handle(mulberryrack_member::Input::Propose {
                ticket,
                parent,
                change,
                author,
                rows,
            })
        );
        None
    }

    /// Answers with the table in force and its rows.
    fn show(&mut self) -> Answer {
        self.table().map_or_else(
            || Answer::Failed {
                reason: "no table is in force yet".to_owned(),
            },
            |table| Answer::Table(answers::version(&table, true)),
        )
    }

    /// The version in force on each host that is not known to be dead.
    fn applied_versions(&mut self) -> Vec<Applied> {
        self.with_member(|member| {
            let view = member.view();
            let progress = member.progress();
            view.peers
                .iter()
                .filter(|peer| !matches!(peer.standing, Standing::Dead | Standing::Gone))
                .map(|peer| Applied {
                    host: peer.name.clone(),
                    version: progress
                        .hosts
                        .iter()
                        .find(|(name, _)| *name == peer.name)
                        .map_or(0, |(_, version)| *version),
                    alive: peer.standing == Standing::Alive,
                })
                .collect()
        })
    }

    fn progress(&mut self) -> Answer {
        Answer::Progress {
            version: self.table().map_or(0, |table| table.version),
            hosts: self.applied_versions(),
        }
    }

    fn status(&mut self) -> Answer {
        let now = self.now;
        let applied = self.applied_versions();
        let (view, current) = self.with_member(|member| (member.view(), member.is_current(now)));
        let hosts = view
            .peers
            .iter()
            .map(|peer| operator::Member {
                name: peer.name.clone(),
                data_centre: peer.data_centre.clone(),
                standing: format!("{:?}", peer.standing).to_lowercase(),
                version: applied
                    .iter()
                    .find(|applied| applied.host == peer.name)
                    .map_or(0, |applied| applied.version),
            })
            .collect();
        Answer::Status(Box::new(Status {
            host: self.identity.name.clone(),
            version: self.table().map_or(0, |table| table.version),
            current,
            requests: self.open_requests(),
            hosts,
            engines: answers::engines(&self.engine_states()),
        }))
    }

    /// Lists the copies of a row and, if this host's planner owns cells, the pending orders and
    /// planned steps for it there.
    fn explain(&mut self, row: Name) -> Answer {
        if self.table().is_none_or(|table| table.row(&row).is_none()) {
            return Answer::Failed {
                reason: format!("the table in force has no row {row:?}"),
            };
        }
        let now = self.now;
        let mut lines = answers::copies(&self.engine_states(), &row);
        lines.extend(self.with_planner(|planner| answers::plan(&planner.status(now), &row)));
        Answer::Explained { row, lines }
    }
}
