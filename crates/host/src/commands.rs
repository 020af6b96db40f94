//! Operators' commands, carried out by a host.

use crate::{
    Effect, Host, desk,
    operator::{self, Answer, Applied, Command, Status},
};
use mulberryrack_core::{Name, view::Standing};
use mulberryrack_table::{Row, Table, csv};
use stakker::call;
use std::sync::Arc;

impl Host {
    /// Carries out a command; its answer comes as an effect, at once or later.
    pub(crate) fn command(&mut self, ticket: u64, command: Command) {
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
                self.drain();
                Answer::Draining
            }
        };
        self.emit(Effect::Operator { ticket, answer });
    }

    fn read(&mut self, ticket: u64, version: Option<u64>) {
        call!(
            [self.member],
            input(mulberryrack_member::Input::Read { ticket, version })
        );
    }

    /// The rows of a table that could be put in force, or what is wrong with it.
    fn checked(&mut self, text: &str) -> Result<Arc<[Row]>, Answer> {
        let rows = csv::parse(text).map_err(|problems| Answer::Invalid {
            problems: problems.iter().map(ToString::to_string).collect(),
        })?;
        let table = Table {
            version: 0,
            change: Name::default(),
            author: Name::default(),
            rows: rows.clone(),
        };
        let shortfalls = mulberryrack_place::check(&table, &self.engines).err();
        match shortfalls {
            // Before the first list nothing is known of the engines.
            Some(shortfalls) if !self.engines.is_empty() => Err(Answer::Invalid {
                problems: shortfalls.iter().map(desk::shortfall).collect(),
            }),
            _ => Ok(rows),
        }
    }

    fn check(&mut self, text: &str) -> Answer {
        match self.checked(text) {
            Err(answer) => answer,
            Ok(rows) => {
                let table = self.table();
                let old = table.as_ref().map_or(&[][..], |table| &table.rows);
                Answer::Checked {
                    version: table.as_ref().map_or(0, |table| table.version),
                    changes: desk::changes(old, &rows),
                }
            }
        }
    }

    fn propose(
        &mut self,
        ticket: u64,
        text: &str,
        parent: u64,
        change: Name,
        author: Name,
    ) -> Option<Answer> {
        let rows = match self.checked(text) {
            Err(answer) => return Some(answer),
            Ok(rows) => rows,
        };
        call!(
            [self.member],
            input(mulberryrack_member::Input::Propose {
                ticket,
                parent,
                change,
                author,
                rows,
            })
        );
        None
    }

    fn show(&mut self) -> Answer {
        self.table().map_or_else(
            || Answer::Failed {
                reason: "no table is in force yet".to_owned(),
            },
            |table| Answer::Table(desk::version(&table, true)),
        )
    }

    fn applied(&mut self) -> Vec<Applied> {
        self.member(|member| {
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
            hosts: self.applied(),
        }
    }

    fn status(&mut self) -> Answer {
        let now = self.now;
        let applied = self.applied();
        let (view, current) = self.member(|member| (member.view(), member.is_current(now)));
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
            engines: desk::engines(&self.spread_engines()),
        }))
    }

    fn explain(&mut self, row: Name) -> Answer {
        if self.table().is_none_or(|table| table.row(&row).is_none()) {
            return Answer::Failed {
                reason: format!("the table in force has no row {row:?}"),
            };
        }
        let now = self.now;
        let mut lines = desk::copies(&self.spread_engines(), &row);
        lines.extend(self.planner(|planner| desk::plan(&planner.status(now), &row)));
        Answer::Explained { row, lines }
    }
}
