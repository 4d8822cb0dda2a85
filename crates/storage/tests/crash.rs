//! Processes that are killed during commits, and a full disk. The test program starts itself again as the process under test.

use basaltgw_storage::{Limits, Space, StorageError, Store, Write};
use proptest::prelude::*;
use rustix::process::{setrlimit, Resource, Rlimit};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader};
use std::path::Path;
use std::process::{Child, Command, Stdio};

const LIMITS: Limits = Limits { max_entries: 100_000, max_bytes: 64 << 20, max_entry_bytes: 1 << 20 };
const FOLDER: &str = "STORAGE_TEST_FOLDER";
/// Number of entries in each batch.
const BATCH_ENTRIES: u64 = 20;

/// Runs the test `name` of this program in a child process, after the shell command `shell`.
fn child(name: &str, folder: &Path, shell: &str) -> Child {
    let line = format!("{shell} exec \"$0\" --exact {name} --nocapture --include-ignored");
    let mut command = Command::new("sh");
    command.arg("-c").arg(line).arg(std::env::current_exe().unwrap());
    command.env(FOLDER, folder).stdout(Stdio::piped()).spawn().unwrap()
}

fn batch(round: u64) -> Vec<Write> {
    (0..BATCH_ENTRIES)
        .map(|n| Write::Put(Space(1), n.to_be_bytes().to_vec(), [round; 64].map(|r| r as u8).to_vec()))
        .collect()
}

#[test]
#[ignore = "the process that another test kills"]
fn writes_until_killed() {
    let Some(folder) = std::env::var_os(FOLDER) else { return };
    let (mut store, _) = Store::open(Path::new(&folder), LIMITS, 1).unwrap();
    let (_, stored_bytes) = store.size();
    let start = store.get(Space(1), &0u64.to_be_bytes()).unwrap().map_or(0, |v| u64::from(v[0]));
    println!("\nopen {stored_bytes}");
    for round in start + 1.. {
        store.commit(&batch(round % 256)).unwrap();
        println!("\nround {round}");
    }
}

#[test]
fn a_process_killed_during_a_commit_leaves_the_batch_complete_or_absent() {
    let folder = tempfile::tempdir().unwrap();
    for kill in 0..25 {
        let mut process = child("writes_until_killed", folder.path(), "");
        let mut lines = BufReader::new(process.stdout.take().unwrap()).lines().map(Result::unwrap);
        // The process is killed after one to five reported rounds; the time from the report to the kill depends on the machine.
        let reported =
            lines.by_ref().filter_map(|l| l.strip_prefix("round ").map(|n| n.parse::<u64>().unwrap()));
        let mut reported = reported.skip(kill % 5).take(1);
        let mut last = reported.next().unwrap();
        process.kill().unwrap();
        process.wait().unwrap();
        last = lines
            .filter_map(|l| l.strip_prefix("round ").and_then(|n| n.parse().ok()))
            .last()
            .unwrap_or(last);
        let (store, _) = Store::open(folder.path(), LIMITS, 2).unwrap();
        assert_eq!(store.incarnation().0, 1);
        let values = store.read(Space(1)).unwrap();
        assert_eq!(values.len() as u64, BATCH_ENTRIES);
        assert!(values.iter().all(|(_, v)| *v == values[0].1), "a partial batch");
        let found = u64::from(values[0].1[0]);
        assert!([last % 256, (last + 1) % 256].contains(&found), "reported {last}, found {found}");
    }
}

#[test]
#[ignore = "the process whose file sizes another test limits"]
fn writes_until_the_disk_is_full() {
    let Some(folder) = std::env::var_os(FOLDER) else { return };
    let (mut store, _) = Store::open(Path::new(&folder), LIMITS, 1).unwrap();
    let small = |n: u64| Write::Put(Space(1), n.to_be_bytes().to_vec(), vec![n as u8; 100]);
    let large = |n: u64| Write::Put(Space(2), n.to_be_bytes().to_vec(), vec![n as u8; 500_000]);
    store.commit(&[small(1)]).unwrap();
    let limit_file_size = |current| setrlimit(Resource::Fsize, Rlimit { current, maximum: None }).unwrap();
    limit_file_size(Some(4 << 20));
    let (mut committed, mut error) = (0, None);
    while error.is_none() {
        committed += 1;
        error = store.commit(&[large(committed)]).err();
    }
    assert!(matches!(error, Some(StorageError::Io { .. })), "{error:?}");
    // While no byte can be written, acknowledged entries can be read repeatedly, and a later commit is attempted again.
    limit_file_size(Some(0));
    for _ in 0..3 {
        let entries = store.read(Space(2)).unwrap();
        assert!(entries.len() as u64 >= committed - 1, "{} of {committed}", entries.len());
        assert!(entries.iter().all(|(_, v)| v.len() == 500_000));
        assert_eq!(store.get(Space(1), &1u64.to_be_bytes()).unwrap(), Some(vec![1; 100]));
        assert!(matches!(
            store.commit(&[large(committed + 1), large(committed + 2)]),
            Err(StorageError::Io { .. })
        ));
    }
    limit_file_size(None);
    store.commit(&[large(committed + 1)]).unwrap();
    println!("\nfull {committed}");
}

#[test]
fn a_full_disk_fails_commits_and_stays_readable() {
    let folder = tempfile::tempdir().unwrap();
    // With the signal ignored, a write over the limit returns an error.
    let process = child("writes_until_the_disk_is_full", folder.path(), "trap '' XFSZ;");
    let output = process.wait_with_output().unwrap();
    let text = String::from_utf8_lossy(&output.stdout);
    assert!(output.status.success(), "{text}");
    let committed: u64 = text.lines().find_map(|l| l.strip_prefix("full ")).unwrap().parse().unwrap();
    let (mut store, _) = Store::open(folder.path(), LIMITS, 2).unwrap();
    assert!(store.incarnation().0 == 1 && store.read(Space(2)).unwrap().len() as u64 >= committed);
    store.commit(&batch(1)).unwrap();
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, ..ProptestConfig::default() })]
    #[test]
    fn a_store_equals_a_map_after_any_batches_and_reopenings(
        steps in proptest::collection::vec(
            (any::<bool>(), proptest::collection::vec((any::<bool>(), 0..3u8, 0..6u8, 0..200usize), 0..6)), 1..12),
    ) {
        let folder = tempfile::tempdir().unwrap();
        let limits = Limits { max_entries: 12, max_bytes: 1200, max_entry_bytes: 150 };
        let (mut store, _) = Store::open(folder.path(), limits, 1).unwrap();
        let mut model: BTreeMap<(u8, Vec<u8>), Vec<u8>> = BTreeMap::new();
        for (reopen, batch) in steps {
            let mut next = model.clone();
            let mut writes = Vec::new();
            let mut has_oversized_entry = false;
            for (put, space, key, length) in batch {
                let (key, value) = (vec![key; usize::from(key)], vec![key; length]);
                has_oversized_entry |= put && key.len() + length > limits.max_entry_bytes;
                match put {
                    true => next.insert((space, key.clone()), value.clone()),
                    false => next.remove(&(space, key.clone())),
                };
                writes.push(if put { Write::Put(Space(space), key, value) } else { Write::Remove(Space(space), key) });
            }
            let bytes: usize = next.iter().map(|((_, k), v)| k.len() + v.len()).sum();
            let fits = !has_oversized_entry && next.len() <= 12 && bytes <= 1200;
            let result = store.commit(&writes);
            prop_assert_eq!(result.is_ok(), fits, "{:?}", result);
            if fits {
                model = next;
            }
            if reopen {
                drop(store);
                store = Store::open(folder.path(), limits, 2).unwrap().0;
            }
            for space in 0..3 {
                let expected: Vec<_> =
                    model.iter().filter(|((s, _), _)| *s == space).map(|((_, k), v)| (k.clone(), v.clone())).collect();
                prop_assert_eq!(store.read(Space(space)).unwrap(), expected);
            }
        }
    }
}
