//! Tests of `seen`.

use super::*;

fn one(word: &str, fields: &str, body: &str) -> One {
    let ends = vec![(5, word.into(), fields.into(), body.as_bytes().to_vec())];
    One { router: 0, object: 1, parts: vec![0, 1], debt: None, asked: 0, ends, lost: None }
}

#[test]
fn the_checker_finds_each_wrong_answer() {
    let piece = |p: u64, made: u64| format!("{:016x}/{p}@{made}", 1);
    let n = piece(0, 7).len();
    let both = format!("parts=0:{n}+1:{n}");
    let good = one("200", &both, &(piece(0, 7) + &piece(1, 7)));
    let part = one("206", &format!("parts=0:{n},missing=1,w=5,debt=ab"), &piece(0, 7));
    assert_eq!(check(&[good.clone(), part.clone()], &[], 100), Vec::<String>::new());
    assert_eq!(part.owed().map(|d| (d.name, d.missing)), Some(("ab".into(), BTreeSet::from([1]))));
    let twice = One { ends: [good.ends.clone(), good.ends.clone()].concat(), ..good.clone() };
    let silent = One { ends: vec![], ..good.clone() };
    assert!(check(std::slice::from_ref(&silent), &[(0, 0, 9)], 100).is_empty());
    let owed = Debt { name: "ab".into(), missing: BTreeSet::from([0, 1]), made: 8 };
    for wrong in [
        twice,
        silent,
        One { debt: Some(owed), ..good.clone() },
        one("200", &both, &(piece(0, 7) + &piece(1, 8))),
        one("206", &both, &(piece(0, 7) + &piece(1, 7))),
        one("200", &format!("parts=0:{n}"), &piece(0, 7)),
        one("206", &format!("parts=1:{n},missing=0"), &piece(1, 7)),
        one("206", &format!("parts=0:{n},missing=2"), &piece(0, 7)),
        one("200", &both, &piece(0, 7)),
    ] {
        assert_eq!(check(std::slice::from_ref(&wrong), &[], 100).len(), 1, "{wrong:?}");
    }
}
