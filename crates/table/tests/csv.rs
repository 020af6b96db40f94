//! Parsing, rendering and comparing tables, on fixed texts and on generated rows.

use bolero::{
    TypeGenerator,
    generator::bolero_generator::driver::{ByteSliceDriver, Options},
};
use mulberryrack_core::request::Priority;
use mulberryrack_table::{
    Column, Fault, Kind, Problem, Row,
    csv::{parse, render},
    diff::{Change, compare},
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::{collections::BTreeMap, time::Duration};

const HEADER: &str = "name,kind,base,version,memory_mb,share,priority,ceiling,first_token_ms,\
                      token_gap_ms,repeatable,min_copies,max_copies";
const SEEDS: u64 = 2_000;
/// Number of random bytes from which a value is generated.
const INPUT_BYTES: usize = 2_048;

fn table(lines: &[&str]) -> String {
    format!("{HEADER}\n{}\n", lines.join("\n"))
}

fn problems(text: &str) -> Vec<Problem> {
    parse(text).expect_err("the text has problems")
}

#[test]
fn empty_cells_take_the_documented_defaults() {
    let rows = parse(&table(&[
        "draft,model,,,24000,,,,,,,,",
        "desk,service,,,,,,,,,,,",
        "tone,adapter,draft,,300,,,,,,,9,",
    ]))
    .unwrap();
    let names: Vec<&str> = rows.iter().map(|row| &*row.name).collect();
    assert_eq!(names, ["desk", "draft", "tone"]);
    let expected = Row {
        name: "draft".into(),
        kind: Kind::Model,
        base: None,
        version: "1".into(),
        memory_mb: 24_000,
        share: 1,
        priority: Priority::Normal,
        ceiling: 64,
        first_token: Duration::from_millis(530),
        token_gap: Duration::from_millis(39),
        repeatable: false,
        min_copies: 1,
        max_copies: 4,
    };
    assert_eq!(rows[1], expected);
    assert_eq!((rows[0].memory_mb, rows[0].max_copies), (0, 0));
    assert_eq!((rows[2].min_copies, rows[2].max_copies), (9, 9));
}

#[test]
fn spreadsheet_variants_parse_to_the_same_rows() {
    let plain = table(&["draft,model,,v2,24000,3,urgent,8,400,30,yes,1,2"]);
    let expected = parse(&plain).unwrap();
    let forms = [
        format!("\u{feff}{}", plain.replace('\n', "\r\n")),
        plain.replace(',', ";"),
        plain.replace(',', "\t"),
        plain.replace("draft", "\"draft\"").replace("yes", " TRUE "),
        format!("{plain}\n,,,,,,,,,,,,\n\n"),
        plain.replace("name,", "Name,").replace("urgent", "Urgent"),
    ];
    for form in forms {
        assert_eq!(parse(&form).as_ref(), Ok(&expected), "{form:?}");
    }
}

#[test]
fn columns_may_come_in_any_order() {
    let text = table(&["draft,model,,v2,24000,3,urgent,8,400,30,yes,1,2"]);
    let reversed: Vec<String> = text
        .lines()
        .map(|line| line.rsplit(',').collect::<Vec<_>>().join(","))
        .collect();
    assert_eq!(parse(&reversed.join("\n")), parse(&text));
}

#[test]
fn header_problems_suggest_the_most_similar_column() {
    let text = table(&["draft,model,,v2,24000,0,normal,8,400,30,yes,1,2"])
        .replace("ceiling", "cieling")
        .replace("base", "name");
    let found: Vec<String> = problems(&text).iter().map(Problem::to_string).collect();
    assert_eq!(
        found,
        [
            "line 1, column \"name\", value \"name\": the column appears twice",
            "line 1, column \"cieling\", value \"cieling\": there is no such column; \
             did you mean \"ceiling\"?",
            "line 1, column \"base\", value \"\": the column is missing",
            "line 1, column \"ceiling\", value \"\": the column is missing; \
             is it the one named \"cieling\"?",
            "line 2, row \"draft\", column \"share\", value \"0\": \
             allowed are whole numbers from 1 to 1000000",
        ]
    );
}

#[test]
fn all_problems_are_reported_with_line_row_and_column() {
    let text = table(&[
        "draft,model,,v2,0,0,soon,8,400,30,perhaps,3,2",
        "draft,modle,,,1,,,,,,,,",
        ",adapter,draf,,1,,,1e3,,,,,",
        "desk,service,,v1,5,,,,,,,,",
        "bad name,model,draft,,,,,,,,,,",
        "short,model",
    ]);
    let found: Vec<(u64, &str, String)> = problems(&text)
        .iter()
        .map(|problem| {
            let column = problem.column.as_deref().unwrap_or_default();
            let position = format!("{}/{column}", problem.row.as_deref().unwrap_or_default());
            let kind = match &problem.fault {
                Fault::Unused { .. } => "unused",
                Fault::Empty => "empty",
                Fault::InvalidName => "name",
                Fault::UnknownValue { .. } => "value",
                Fault::InvalidNumber { .. } => "number",
                Fault::MinAboveMax { max: 2 } => "copies",
                Fault::UnknownBase { nearest } if nearest.as_deref() == Some("draft") => "base",
                Fault::CellCount {
                    found: 2,
                    expected: 13,
                } => "cells",
                other => panic!("unexpected {other:?}"),
            };
            (problem.line, kind, position)
        })
        .collect();
    let expected = [
        (2, "copies", "draft/min_copies"),
        (2, "number", "draft/memory_mb"),
        (2, "number", "draft/share"),
        (2, "value", "draft/priority"),
        (2, "value", "draft/repeatable"),
        (3, "value", "draft/kind"),
        (4, "empty", "/name"),
        (4, "number", "/ceiling"),
        (4, "base", "/base"),
        (5, "unused", "desk/version"),
        (5, "unused", "desk/memory_mb"),
        (6, "name", "bad name/name"),
        (6, "unused", "bad name/base"),
        (6, "empty", "bad name/memory_mb"),
        (7, "cells", "short/"),
    ];
    assert_eq!(
        found,
        expected.map(|(line, kind, position)| (line, kind, position.to_owned()))
    );
}

#[test]
fn duplicate_names_are_rejected() {
    let text = table(&[
        "a,model,,,1,,,,,,,,",
        "b,model,,,1,,,,,,,,",
        "a,model,,,2,,,,,,,,",
    ]);
    let found = problems(&text);
    assert_eq!(found.len(), 1, "{found:?}");
    assert_eq!(
        (found[0].line, &found[0].fault),
        (4, &Fault::DuplicateName { first_line: 2 })
    );
}

#[test]
fn a_base_must_be_a_model() {
    let text = table(&[
        "a,model,,,1,,,,,,,,",
        "b,adapter,a,,1,,,,,,,,",
        "c,adapter,b,,1,,,,,,,,",
        "d,adapter,,,1,,,,,,,,",
    ]);
    let found = problems(&text);
    assert_eq!(found.len(), 2, "{found:?}");
    assert_eq!((found[0].line, &*found[0].value), (4, "b"));
    assert_eq!((found[1].line, &found[1].fault), (5, &Fault::Empty));
}

#[test]
fn a_table_without_rows_is_rejected() {
    for text in ["", "\u{feff}", "\n\n", HEADER, &table(&[",,,,,,,,,,,,"])] {
        assert!(parse(text).is_err(), "{text:?}");
    }
    assert_eq!(problems(HEADER)[0].fault, Fault::NoRows);
}

#[test]
fn the_largest_planned_table_fits_half_a_store_value() {
    let rows: Vec<Row> = (0..860 * 4)
        .map(|index| RowInput::default().row(index % 4 != 0, index))
        .collect();
    let size = render(&rows).len();
    assert!(size < 1 << 19, "{size} bytes");
}

#[test]
fn compare_reports_added_and_removed_rows_and_changed_cells() {
    let old = parse(&table(&["a,model,,1,10,,,,,,,,", "b,model,,1,10,,,,,,,,"])).unwrap();
    let new = parse(&table(&["b,model,,2,10,5,,,,,,,", "c,model,,1,10,,,,,,,,"])).unwrap();
    let changed = |column, from: &str, to: &str| Change::Changed {
        row: "b".into(),
        column,
        from: from.into(),
        to: to.into(),
    };
    assert_eq!(
        compare(&old, &new),
        [
            Change::Removed(old[0].clone()),
            changed(Column::Version, "1", "2"),
            changed(Column::Share, "1", "5"),
            Change::Added(new[1].clone()),
        ]
    );
    assert_eq!(compare(&new, &new), []);
}

/// Random values from which a valid row is made.
#[derive(Clone, Debug, Default, TypeGenerator)]
struct RowInput {
    kind: u8,
    base: u8,
    version: u16,
    memory: u32,
    share: u16,
    priority: u8,
    ceiling: u16,
    first_token: u16,
    token_gap: u16,
    repeatable: bool,
    copies: (u8, u8),
}

impl RowInput {
    fn row(&self, adapter: bool, index: usize) -> Row {
        let kind = match self.kind % 4 {
            _ if adapter => Kind::Adapter,
            0 => Kind::Service,
            _ => Kind::Model,
        };
        let weighted = kind != Kind::Service;
        let copies = |count: u32| if weighted { count } else { 0 };
        let min = u32::from(self.copies.0) + 1;
        Row {
            name: format!("row-{index:04}").into(),
            kind,
            base: adapter.then(|| "row-base".into()),
            version: if weighted {
                format!("v{}", self.version).into()
            } else {
                "".into()
            },
            memory_mb: if weighted {
                u64::from(self.memory % 16_000_000) + 1
            } else {
                0
            },
            share: u32::from(self.share) + 1,
            priority: Priority::ALL[usize::from(self.priority % 3)],
            ceiling: u32::from(self.ceiling) + 1,
            first_token: Duration::from_millis(u64::from(self.first_token) + 1),
            token_gap: if weighted {
                Duration::from_millis(u64::from(self.token_gap) + 1)
            } else {
                Duration::ZERO
            },
            repeatable: self.repeatable,
            min_copies: copies(min),
            max_copies: copies(min + u32::from(self.copies.1)),
        }
    }
}

fn rows(inputs: &[(bool, RowInput)]) -> Vec<Row> {
    let base = Row {
        name: "row-base".into(),
        kind: Kind::Model,
        ..RowInput {
            kind: 1,
            ..RowInput::default()
        }
        .row(false, 0)
    };
    let mut rows: Vec<Row> = inputs
        .iter()
        .enumerate()
        .map(|(index, (adapter, input))| input.row(*adapter, index))
        .chain([base])
        .collect();
    rows.sort_by(|a, b| a.name.cmp(&b.name));
    rows
}

/// Applies changes to the cells of a table and parses the result: a slow reference for
/// [`compare`].
fn apply(rows: &[Row], changes: &[Change]) -> Vec<Row> {
    let mut cells: BTreeMap<String, Vec<String>> = rows.iter().map(texts).collect();
    for change in changes {
        match change {
            Change::Added(row) => cells.extend([texts(row)]),
            Change::Removed(row) => drop(cells.remove(&*row.name)),
            Change::Changed {
                row,
                column,
                from,
                to,
            } => {
                let cell = &mut cells.get_mut(&**row).unwrap()[*column as usize];
                assert_eq!(**cell, **from);
                *cell = to.to_string();
            }
        }
    }
    let lines: Vec<String> = cells.values().map(|cells| cells.join(",")).collect();
    let lines: Vec<&str> = lines.iter().map(String::as_str).collect();
    parse(&table(&lines)).unwrap().to_vec()
}

fn texts(row: &Row) -> (String, Vec<String>) {
    let cells = Column::ALL.map(|column| column.text(row));
    (row.name.to_string(), cells.to_vec())
}

/// Runs a test on one generated value per seed. The values are the same in every run.
fn for_each_seed<T: TypeGenerator>(test: impl Fn(u64, T)) {
    for seed in 0..SEEDS {
        let mut bytes = vec![0; INPUT_BYTES];
        ChaCha8Rng::seed_from_u64(seed).fill_bytes(&mut bytes);
        let mut driver = ByteSliceDriver::new(&bytes, &Options::default());
        let value = T::generate(&mut driver).expect("bytes are left for every value");
        test(seed, value);
    }
}

#[test]
fn rendered_tables_parse_to_the_same_rows() {
    for_each_seed(|seed, inputs: Vec<(bool, RowInput)>| {
        let rows = rows(&inputs);
        let text = render(&rows);
        assert_eq!(parse(&text).as_deref(), Ok(&*rows), "seed {seed}");
        let other = parse(&text.replace(',', ";"));
        assert_eq!(other.as_deref(), Ok(&*rows), "seed {seed}");
    });
}

#[test]
fn applying_the_changes_gives_the_new_table() {
    for_each_seed(|seed, (old, new): (Vec<_>, Vec<_>)| {
        let (old, new) = (rows(&old), rows(&new));
        assert_eq!(apply(&old, &compare(&old, &new)), new, "seed {seed}");
    });
}

/// Fragments from which random text is composed, so that it resembles a table.
const FRAGMENTS: [&str; 16] = [
    HEADER,
    "\n",
    ",",
    "\"",
    "model",
    "adapter",
    "a",
    "b",
    "1",
    "-",
    "\r\n",
    ";",
    "é",
    "\t",
    "99999999999999999999",
    "yes",
];

#[test]
fn any_text_parses_or_is_rejected_with_problems() {
    for_each_seed(|seed, (raw, fragments): (String, Vec<u8>)| {
        let fragments: String = fragments
            .iter()
            .map(|fragment| FRAGMENTS[usize::from(*fragment) % FRAGMENTS.len()])
            .collect();
        for text in [&raw, &fragments, &format!("{HEADER}\n{fragments}")] {
            match parse(text) {
                Ok(rows) => assert_eq!(parse(&render(&rows)), Ok(rows), "seed {seed}"),
                Err(problems) => assert!(!problems.is_empty(), "seed {seed}"),
            }
        }
    });
}

#[test]
fn every_faulty_line_is_reported() {
    for_each_seed(
        |seed, (inputs, faulty): (Vec<(bool, RowInput)>, Vec<bool>)| {
            let mut cells: Vec<Vec<String>> =
                rows(&inputs).iter().map(|row| texts(row).1).collect();
            let mut expected = Vec::new();
            for (index, (line, _)) in cells
                .iter_mut()
                .zip(&faulty)
                .enumerate()
                .filter(|(_, (_, f))| **f)
            {
                line[Column::Share as usize] = "none".to_owned();
                expected.push(index as u64 + 2);
            }
            let lines: Vec<String> = cells.iter().map(|cells| cells.join(",")).collect();
            let lines: Vec<&str> = lines.iter().map(String::as_str).collect();
            let found: Vec<u64> = parse(&table(&lines))
                .err()
                .unwrap_or_default()
                .iter()
                .map(|problem| problem.line)
                .collect();
            assert_eq!(found, expected, "seed {seed}");
        },
    );
}
