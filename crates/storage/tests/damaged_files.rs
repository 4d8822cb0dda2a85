//! Damaged store files: a store that opens has every acknowledged entry; otherwise opening it returns an error.

use basaltgw_storage::{read_snapshot, FolderState, Limits, Pairs, Space, StorageError, Store, Write};
use basaltgw_types::Incarnation;
use redb::ReadableTable;
use std::fs;
use std::path::Path;

const LIMITS: Limits = Limits { max_entries: 1000, max_bytes: 1 << 20, max_entry_bytes: 4096 };
const SPACE: Space = Space(3);

fn put(n: u64, value: &[u8]) -> Write {
    Write::Put(SPACE, n.to_be_bytes().to_vec(), value.to_vec())
}

/// Creates a store with some commits, closes it, and returns its entries.
fn create_store(folder: &Path) -> Pairs {
    let (mut store, found) = Store::open(folder, LIMITS, 7).unwrap();
    assert_eq!(found, FolderState::New(Incarnation(7)));
    for round in 0..8 {
        let batch: Vec<Write> = (0..40).map(|n| put(n * 8 + round, &[round as u8; 300])).collect();
        store.commit(&batch).unwrap();
    }
    store.read(SPACE).unwrap()
}

/// Copies a closed store's folder, with one file changed.
fn copy_with_change(from: &Path, file: &str, change: impl FnOnce(&mut Vec<u8>)) -> tempfile::TempDir {
    let to = tempfile::tempdir().unwrap();
    fs::create_dir(to.path().join("current")).unwrap();
    for name in ["life", "data"] {
        fs::copy(from.join("current").join(name), to.path().join("current").join(name)).unwrap();
    }
    let path = to.path().join("current").join(file);
    let mut bytes = fs::read(&path).unwrap();
    change(&mut bytes);
    fs::write(&path, bytes).unwrap();
    to
}

fn open(folder: &Path) -> Result<Pairs, StorageError> {
    let (store, found) = Store::open(folder, LIMITS, 99)?;
    assert_eq!(found, FolderState::Existing(Incarnation(7)));
    store.read(SPACE)
}

#[test]
fn a_reopened_store_has_all_entries() {
    let folder = tempfile::tempdir().unwrap();
    let all = create_store(folder.path());
    assert_eq!(all.len(), 320);
    assert_eq!(open(folder.path()).unwrap(), all);
}

#[test]
fn an_interrupted_creation_is_discarded() {
    let folder = tempfile::tempdir().unwrap();
    fs::create_dir(folder.path().join("new")).unwrap();
    fs::write(folder.path().join("new/data"), "half").unwrap();
    let (store, found) = Store::open(folder.path(), LIMITS, 5).unwrap();
    assert_eq!((found, store.size()), (FolderState::New(Incarnation(5)), (0, 0)));
}

#[test]
fn marks_of_another_incarnation_or_of_earlier_commits_are_corruption() {
    let folder = tempfile::tempdir().unwrap();
    create_store(folder.path());
    let first = fs::read(folder.path().join("current/life")).unwrap();
    let (mut store, _) = Store::open(folder.path(), LIMITS, 0).unwrap();
    (0..4).for_each(|n| store.commit(&[put(n, b"more")]).unwrap());
    drop(store);
    let other = tempfile::tempdir().unwrap();
    let (mut store, _) = Store::open(other.path(), LIMITS, 8).unwrap();
    (0..12).for_each(|n| store.commit(&[put(n, b"more")]).unwrap());
    drop(store);
    let other = fs::read(other.path().join("current/life")).unwrap();
    for (marks, blocks) in [(&other, 4096..12288), (&first, 4096..8192), (&first, 8192..12288)] {
        let mixed = copy_with_change(folder.path(), "life", |bytes| {
            bytes[blocks.clone()].copy_from_slice(&marks[blocks])
        });
        let error = open(mixed.path()).unwrap_err();
        assert!(matches!(error, StorageError::Corrupted { .. }), "{error}");
    }
}

#[test]
fn a_shortened_file_is_reported_as_truncated_or_is_complete() {
    let folder = tempfile::tempdir().unwrap();
    let all = create_store(folder.path());
    for file in ["life", "data"] {
        let length = fs::metadata(folder.path().join("current").join(file)).unwrap().len() as usize;
        // The last blocks of the database may be free, and removing free blocks loses no entry.
        let mut truncated = 0;
        for cut in (0..length).step_by(4096) {
            let damaged = copy_with_change(folder.path(), file, |bytes| bytes.truncate(cut));
            match open(damaged.path()) {
                Ok(found) => assert_eq!(found, all, "{file} cut to {cut}"),
                Err(StorageError::Truncated { .. }) => truncated += 1,
                Err(other) => panic!("{file} cut to {cut}: {other}"),
            }
        }
        assert!(truncated > length / 4096 / 2, "{file}: {truncated} of {length} bytes");
        fs::remove_file(copy_with_change(folder.path(), file, |_| ()).path().join("current").join(file))
            .unwrap();
    }
}

#[test]
fn a_missing_file_is_reported_as_truncated() {
    let folder = tempfile::tempdir().unwrap();
    create_store(folder.path());
    for file in ["life", "data"] {
        let damaged = copy_with_change(folder.path(), file, |_| ());
        fs::remove_file(damaged.path().join("current").join(file)).unwrap();
        assert!(matches!(open(damaged.path()), Err(StorageError::Truncated { .. })), "{file}");
    }
}

#[test]
fn a_flipped_bit_is_detected_or_harmless() {
    let folder = tempfile::tempdir().unwrap();
    let all = create_store(folder.path());
    let mut detected = 0;
    for file in ["life", "data"] {
        let length = fs::metadata(folder.path().join("current").join(file)).unwrap().len() as usize;
        let positions = (0..64).step_by(3).chain((64..length).step_by(length / 70));
        for at in positions {
            let damaged = copy_with_change(folder.path(), file, |bytes| bytes[at] ^= 1 << (at % 8));
            match open(damaged.path()) {
                Ok(now) => assert_eq!(now, all, "{file} flipped at {at}"),
                Err(StorageError::Corrupted { .. } | StorageError::Truncated { .. }) => detected += 1,
                Err(other) => panic!("{file} flipped at {at}: {other}"),
            }
        }
    }
    assert!(detected > 40, "{detected}");
}

#[test]
fn a_restored_older_database_is_reported_as_truncated() {
    let folder = tempfile::tempdir().unwrap();
    create_store(folder.path());
    let older = fs::read(folder.path().join("current/data")).unwrap();
    let (mut store, _) = Store::open(folder.path(), LIMITS, 0).unwrap();
    store.commit(&[put(1, b"acknowledged")]).unwrap();
    drop(store);
    let damaged = copy_with_change(folder.path(), "data", |bytes| *bytes = older);
    let error = open(damaged.path()).unwrap_err();
    assert!(matches!(error, StorageError::Truncated { .. }) && error.requires_new_incarnation(), "{error}");
    // It does not open when one of the marks is corrupted either.
    let path = damaged.path().join("current/life");
    for mark in [4096, 8192] {
        let mut superblock = fs::read(&path).unwrap();
        superblock[mark] ^= 1;
        fs::write(&path, &superblock).unwrap();
        assert!(open(damaged.path()).unwrap_err().requires_new_incarnation());
        superblock[mark] ^= 1;
        fs::write(&path, &superblock).unwrap();
    }
}

#[test]
fn an_entry_changed_behind_the_summary_is_reported_as_corruption() {
    let folder = tempfile::tempdir().unwrap();
    create_store(folder.path());
    let entries = redb::TableDefinition::<&[u8], &[u8]>::new("entries");
    let key = [&[3][..], &8u64.to_be_bytes()].concat();
    for change in ["nothing", "removed", "altered", "added"] {
        let damaged = copy_with_change(folder.path(), "data", |_| ());
        let db = redb::Database::open(damaged.path().join("current/data")).unwrap();
        let txn = db.begin_write().unwrap();
        {
            let mut table = txn.open_table(entries).unwrap();
            let mut row = table.get(key.as_slice()).unwrap().unwrap().value().to_vec();
            match change {
                "removed" => _ = table.remove(key.as_slice()).unwrap(),
                "altered" => {
                    row[20] ^= 1;
                    table.insert(key.as_slice(), row.as_slice()).unwrap();
                }
                "added" => _ = table.insert([&key[..], b"x"].concat().as_slice(), row.as_slice()).unwrap(),
                _ => (),
            }
        }
        txn.commit().unwrap();
        drop(db);
        let found = open(damaged.path());
        assert_eq!(
            matches!(found, Err(StorageError::Corrupted { .. })),
            change != "nothing",
            "{change}: {found:?}"
        );
    }
}

#[test]
fn a_foreign_file_or_folder_is_rejected() {
    let folder = tempfile::tempdir().unwrap();
    create_store(folder.path());
    for file in ["life", "data"] {
        let damaged = copy_with_change(folder.path(), file, |bytes| bytes.iter_mut().for_each(|b| *b = b'x'));
        assert!(matches!(open(damaged.path()), Err(StorageError::Foreign { .. })), "{file}");
    }
    let other = tempfile::tempdir().unwrap();
    drop(Store::open(other.path(), LIMITS, 8).unwrap());
    let data = fs::read(other.path().join("current/data")).unwrap();
    let mixed = copy_with_change(folder.path(), "data", |bytes| *bytes = data);
    assert!(matches!(open(mixed.path()), Err(StorageError::Foreign { .. })));
    let other_folder = tempfile::tempdir().unwrap();
    fs::write(other_folder.path().join("letter"), "dear").unwrap();
    assert!(matches!(Store::open(other_folder.path(), LIMITS, 1), Err(StorageError::Foreign { .. })));
}

#[test]
fn a_later_format_is_rejected_with_its_number() {
    let folder = tempfile::tempdir().unwrap();
    create_store(folder.path());
    let later = copy_with_change(folder.path(), "life", |bytes| {
        bytes[8] = 9;
        // The block's checksum: BLAKE3 of the body's length and the body.
        let body = bytes[..4080].to_vec();
        let mut hasher = blake3::Hasher::new();
        hasher.update(&4080u64.to_le_bytes()).update(&body);
        hasher.finalize_xof().fill(&mut bytes[4080..4096]);
    });
    let error = open(later.path()).unwrap_err();
    assert!(matches!(error, StorageError::UnsupportedVersion { found: 9, supported: 1, .. }), "{error}");
}

#[test]
fn a_folder_is_open_in_one_store_at_a_time() {
    let folder = tempfile::tempdir().unwrap();
    let (store, _) = Store::open(folder.path(), LIMITS, 1).unwrap();
    assert!(matches!(Store::open(folder.path(), LIMITS, 2), Err(StorageError::Locked { .. })));
    assert!(matches!(Store::quarantine(folder.path()), Err(StorageError::Locked { .. })));
    drop(store);
    assert!(Store::open(folder.path(), LIMITS, 2).is_ok());
}

#[test]
fn a_batch_over_a_limit_writes_nothing() {
    let folder = tempfile::tempdir().unwrap();
    let limits = Limits { max_entries: 2, max_bytes: 40, max_entry_bytes: 30 };
    let (mut store, _) = Store::open(folder.path(), limits, 1).unwrap();
    store.commit(&[put(1, b"a"), put(2, b"b")]).unwrap();
    for over in [vec![put(3, b"c")], vec![put(1, &[0; 23])], vec![put(1, &[0; 20]), put(2, &[0; 20])]] {
        assert!(matches!(store.commit(&over), Err(StorageError::LimitExceeded { .. })), "{over:?}");
    }
    assert_eq!(store.get(SPACE, &1u64.to_be_bytes()).unwrap(), Some(b"a".to_vec()));
    store.commit(&[Write::Remove(SPACE, 1u64.to_be_bytes().to_vec()), put(3, b"c")]).unwrap();
    assert_eq!(store.size(), (2, 18));
}

#[test]
fn a_damaged_store_is_quarantined_and_its_snapshots_can_be_read() {
    let folder = tempfile::tempdir().unwrap();
    let all = create_store(folder.path());
    let (mut store, _) = Store::open(folder.path(), LIMITS, 0).unwrap();
    for n in 0..4 {
        store.commit(&[put(n, b"more")]).unwrap();
        store.snapshot(2).unwrap();
    }
    let last = store.read(SPACE).unwrap();
    drop(store);
    let superblock = folder.path().join("current/life");
    fs::write(&superblock, &fs::read(&superblock).unwrap()[..5000]).unwrap();
    assert!(matches!(open(folder.path()), Err(StorageError::Truncated { .. })));
    let quarantined = Store::quarantine(folder.path()).unwrap().unwrap();
    let (store, found) = Store::open(folder.path(), LIMITS, 5).unwrap();
    assert_eq!((found, store.size()), (FolderState::New(Incarnation(5)), (0, 0)));
    let snapshots: Vec<_> = fs::read_dir(&quarantined).unwrap().map(|e| e.unwrap().path()).collect();
    let mut snapshots: Vec<_> =
        snapshots.iter().filter(|p| p.to_string_lossy().contains("generation")).collect();
    snapshots.sort();
    assert_eq!(snapshots.len(), 2);
    let snapshot = read_snapshot(snapshots[1]).unwrap();
    let entries: Pairs = snapshot.entries.into_iter().map(|e| (e.key, e.value)).collect();
    assert_eq!((snapshot.incarnation, &entries), (Incarnation(7), &last));
    assert_ne!(last, all);
    let bytes = fs::read(snapshots[1]).unwrap();
    for at in (0..bytes.len()).step_by(997) {
        fs::write(snapshots[1], &bytes[..at]).unwrap();
        assert!(read_snapshot(snapshots[1]).is_err());
        let mut flipped = bytes.clone();
        flipped[at] ^= 4;
        fs::write(snapshots[1], &flipped).unwrap();
        assert!(read_snapshot(snapshots[1]).is_err());
    }
}
