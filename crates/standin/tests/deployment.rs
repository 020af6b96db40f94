//! Tests that the sample deployments can be read and have the users' sizes, and that errors
//! in a deployment are reported.

use mulberryrack_core::{Name, node::Role, request::Priority};
use mulberryrack_standin::deployment::{Deployment, Error};
use mulberryrack_table::{Kind, Row, diff};
use std::{
    collections::BTreeMap,
    fs,
    path::{Path, PathBuf},
};

fn examples() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples")
}

fn read(name: &str) -> Deployment {
    Deployment::read(&examples().join(name)).unwrap_or_else(|errors| {
        let lines: Vec<String> = errors.iter().map(Error::to_string).collect();
        panic!("{}", lines.join("\n"))
    })
}

fn count(rows: &[Row], kind: Kind) -> usize {
    rows.iter().filter(|row| row.kind == kind).count()
}

/// Megabytes that all rows take together with `copies(row)` copies of each.
fn memory(rows: &[Row], copies: impl Fn(&Row) -> u32) -> u64 {
    rows.iter()
        .map(|row| row.memory_mb * u64::from(copies(row)))
        .sum()
}

struct Size {
    name: &'static str,
    hosts: usize,
    engines: (&'static str, usize),
    service: &'static str,
    rows: (usize, usize),
}

const SIZES: [Size; 2] = [
    Size {
        name: "hinokuni",
        hosts: 9,
        engines: ("refill-llm", 12),
        service: "order-desk",
        rows: (26, 60),
    },
    Size {
        name: "atlas",
        hosts: 8,
        engines: ("brief-llm", 18),
        service: "booking-api",
        rows: (40, 95),
    },
];

#[test]
fn sample_deployments_have_the_users_machine_counts() {
    for size in SIZES {
        let deployment = read(size.name);
        assert_eq!(&*deployment.name, size.name);
        assert_eq!(deployment.entry_hosts().len(), size.hosts);
        let mut groups: BTreeMap<Name, usize> = BTreeMap::new();
        let mut centres: BTreeMap<Name, usize> = BTreeMap::new();
        for (listing, _) in deployment.upstreams() {
            *groups.entry(listing.group).or_default() += 1;
            *centres.entry(listing.data_centre).or_default() += 1;
            assert_eq!(listing.memory_mb > 0, listing.role == Role::Engine);
        }
        let (engines, service) = (size.engines.0.into(), size.service.into());
        assert_eq!(
            groups,
            BTreeMap::from([(engines, size.engines.1), (service, 3)])
        );
        let third = (size.engines.1 + 3) / 3;
        assert!(centres.len() == 3 && centres.values().all(|count| *count == third));
    }
}

#[test]
fn sample_tables_have_the_users_row_counts() {
    for size in SIZES {
        let deployment = read(size.name);
        for rows in [&deployment.table, &deployment.release] {
            let counts = (count(rows, Kind::Model), count(rows, Kind::Adapter));
            assert_eq!(counts, size.rows);
            assert_eq!(count(rows, Kind::Service), 1);
            let row = rows.iter().find(|row| *row.name == *size.service).unwrap();
            assert!(row.kind == Kind::Service && !row.repeatable);
            let urgent = rows.iter().filter(|row| row.priority == Priority::Urgent);
            assert!(urgent.count() >= 4);
        }
        let changes = diff::compare(&deployment.table, &deployment.release);
        assert!(changes.len() * 10 > deployment.table.len() * 7);
    }
}

#[test]
fn engine_memory_fits_the_minimum_but_not_the_maximum_copies_of_all_rows() {
    for size in SIZES {
        let deployment = read(size.name);
        let upstreams = deployment.upstreams();
        let room: u64 = upstreams.iter().map(|(listing, _)| listing.memory_mb).sum();
        assert!(size.engines.1 < count(&deployment.table, Kind::Model));
        for rows in [&deployment.table, &deployment.release] {
            assert!(memory(rows, |row| row.min_copies) * 10 < room * 7);
            assert!(memory(rows, |row| row.max_copies) > room * 2);
        }
    }
}

#[test]
fn all_errors_of_a_broken_deployment_are_reported_together() {
    let directory = std::env::temp_dir().join(format!("mulberryrack-{}", std::process::id()));
    fs::create_dir_all(&directory).unwrap();
    let ini = "[deployment]\nname = x\nhosts = 0\ndata_centre = a\n\
               [engines big]\ncount = 2\nmemory_mb = 1\nfencing = perhaps\ntoken_ms = -1\n\
               [servce desk]\ncount = 1\n";
    fs::write(directory.join("deployment.ini"), ini).unwrap();
    fs::write(directory.join("table.csv"), "name,kind\n").unwrap();
    let errors = Deployment::read(&directory).unwrap_err();
    fs::remove_dir_all(&directory).unwrap();
    let lines: Vec<String> = errors
        .iter()
        .filter(|error| matches!(error, Error::Setting(_)))
        .map(Error::to_string)
        .collect();
    let expected = [
        "section \"deployment\", key \"data_centres\", value \"\": must be given",
        "section \"deployment\", key \"hosts\", value \"0\": allowed are numbers from 1 to 1000",
        "section \"deployment\", key \"data_centre\", value \"a\": there is no such key; \
         did you mean \"data_centres\"?",
        "section \"platform\": the section is missing",
        "section \"engines big\", key \"fencing\", value \"perhaps\": allowed are yes and no",
        "section \"engines big\", key \"token_ms\", value \"-1\": \
         allowed are numbers from 0 to 86400000",
        "section \"servce desk\": allowed are deployment, platform, \"engines NAME\" and \
         \"service NAME\"",
    ];
    assert_eq!(
        lines,
        expected.map(|line| format!("deployment.ini: {line}"))
    );
    let files = errors
        .iter()
        .filter(|error| matches!(error, Error::File { .. }));
    let tables = errors
        .iter()
        .filter(|error| matches!(error, Error::Table { .. }));
    assert_eq!((files.count(), tables.count()), (1, 11));
}
