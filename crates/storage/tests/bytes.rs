//! Names and contents of a store's files, compared with recorded names and bytes.

use basaltgw_storage::{FolderState, Limits, Space, Store, Write};
use redb::{ReadableDatabase, ReadableTable, TableDefinition};
use std::fs;

const LIMITS: Limits = Limits { max_entries: 1000, max_bytes: 1 << 20, max_entry_bytes: 4096 };
const BLOCK: usize = 4096;

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

/// The first bytes and the checksum of a block.
fn start_and_checksum(block: &[u8]) -> String {
    format!("{} .. {}", hex(&block[..40]), hex(&block[BLOCK - 16..]))
}

#[test]
fn the_files_of_a_store_have_the_names_and_bytes_written_down() {
    let folder = tempfile::tempdir().unwrap();
    let incarnation = 0x0102_0304_0506_0708_090a_0b0c_0d0e_0f10;
    let (mut store, found) = Store::open(folder.path(), LIMITS, incarnation).unwrap();
    assert!(matches!(found, FolderState::New(_)));
    let put = |space, key: &[u8], value: &[u8]| Write::Put(Space(space), key.to_vec(), value.to_vec());
    store.commit(&[put(1, b"key", b"value"), put(2, b"", b"other")]).unwrap();
    store.commit(&[put(3, b"k3", b""), Write::Remove(Space(2), Vec::new())]).unwrap();
    let snapshot = store.snapshot(2).unwrap();
    let current = folder.path().join("current");
    assert_eq!(snapshot, current.join("generation-3"));
    assert_eq!(hex(&fs::read(snapshot).unwrap()), "424757434f505931100f0e0d0c0b0a090807060504030201030000000000000002000000000000000400000000000000016b6579050000000000000076616c75650300000000000000036b3300000000000000001f6822f69f2e4fca0b7c0bab49a69f376b5045bb0d235980ed9922bfffc44293");
    drop(store);
    let mut names: Vec<String> = [folder.path(), &current]
        .iter()
        .flat_map(|f| fs::read_dir(f).unwrap())
        .map(|e| e.unwrap().file_name().into_string().unwrap())
        .collect();
    names.sort();
    assert_eq!(names, ["current", "data", "generation-3", "life", "lock"]);

    let database = redb::Database::open(current.join("data")).unwrap();
    let read = database.begin_read().unwrap();
    let entries = read.open_table(TableDefinition::<&[u8], &[u8]>::new("entries")).unwrap();
    let rows = entries.iter().unwrap().map(|row| row.unwrap());
    let rows: Vec<String> = rows.map(|(k, v)| format!("{} {}", hex(k.value()), hex(v.value()))).collect();
    let expected =
        ["016b6579 46ea55ec3050bb5f58088ec0276f5cba76616c7565", "036b33 46bab56355fe64240660402069fbf59d"];
    assert_eq!(rows, expected);
    let summary = read.open_table(TableDefinition::<u8, &[u8]>::new("tally")).unwrap();
    let row = summary.get(0).unwrap().map(|row| hex(row.value()));
    assert_eq!(row.as_deref(), Some("100f0e0d0c0b0a090807060504030201030000000000000002000000000000000a000000000000008ca40b50864e20845e68cee0906a5258b801e590a97b48d2df8dfb92ae348902"));

    let superblock = fs::read(current.join("life")).unwrap();
    assert_eq!(superblock.len(), 3 * BLOCK);
    assert_eq!(start_and_checksum(&superblock[..BLOCK]), "4247574c4946450a0100100f0e0d0c0b0a0908070605040302010000000000000000000000000000 .. f12cbff21c1e3625d5ecbb69904190a0");
    // The length of the database's file is left out, because the database library determines it.
    assert_eq!(hex(&superblock[BLOCK..BLOCK + 8]), "0200000000000000");
    assert_eq!(hex(&superblock[2 * BLOCK..2 * BLOCK + 8]), "0300000000000000");
    assert_eq!(hex(&superblock[BLOCK + 16..BLOCK + 32]), "100f0e0d0c0b0a090807060504030201");
}
