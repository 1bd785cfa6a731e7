//! Files: what is written is read, and nothing else is.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use sprucelink_cordon::{
    Cause, CordonLimits, CordonRequest, CordonSizes, CordonState, Target, MAX_ENGINE_ID_BYTES,
    MAX_REASON_BYTES,
};
use sprucelink_hot_restart::*;

fn me() -> Instance {
    Instance { name: "n3".into(), listen: "127.0.0.1:7001".into() }
}

fn handover(content: Content) -> Handover {
    Handover {
        instance: me(),
        process: Process { generation: 4, started: Timestamp::from_micros(1_700_000_000_000_000), pid: 77 },
        build: "sprucelink 0.1.0".into(),
        written_at: Timestamp::from_micros(1_700_000_009_000_000),
        seq: 36,
        phase: Phase::Accompanied,
        phase_since: Timestamp::from_micros(1_700_000_008_000_000),
        room_for: vec![Process {
            generation: 5,
            started: Timestamp::from_micros(1_700_000_008_500_000),
            pid: 78,
        }],
        content,
    }
}

fn ban() -> impl Strategy<Value = sprucelink_cordon::CordonRecord> {
    let target = prop_oneof![Just(Target::Manager), "[a-z0-9é-]{1,40}".prop_map(Target::Engine)];
    let word = (any::<bool>(), 0..=sprucelink_cordon::MAX_VERSION, any::<i64>(), any::<i64>(), "[ -~]{0,64}");
    (target, prop::option::of(any::<u64>()), word).prop_map(
        |(target, permit, (out, version, until, at, why))| {
            let fleet = permit.is_some() && out;
            let word = sprucelink_cordon::CordonEntry {
                version,
                cordoned: out,
                lease_expires_at: fleet.then_some(Timestamp::from_micros(until)),
                changed_at: Timestamp::from_micros(at),
                reason: why,
            };
            sprucelink_cordon::CordonRecord {
                target,
                cause: permit.map_or(Cause::Operator, |permit| Cause::Fleet { permit }),
                entry: word,
            }
        },
    )
}

fn content() -> impl Strategy<Value = Content> {
    let ration = (any::<i64>(), any::<u32>(), any::<u32>()).prop_map(|(at, further, taken)| RationBucket {
        at: Timestamp::from_micros(at),
        further,
        taken,
    });
    let bucket = (any::<i64>(), any::<u32>())
        .prop_map(|(at, work_ms)| ColdBucket { at: Timestamp::from_micros(at), work_ms });
    let cold = ("[a-z]{0,20}", prop::collection::vec(bucket, 0..BUCKETS_MOST))
        .prop_map(|(engine, buckets)| ColdSends { engine, buckets });
    (
        prop::collection::vec(ban(), 0..12),
        prop::collection::vec(any::<u64>(), 0..40),
        prop::collection::vec(ration, 0..BUCKETS_MOST),
        prop::collection::vec(cold, 0..6),
        any::<u64>(),
    )
        .prop_map(|(bans, ids, ration, cold, last_event)| Content {
            bans,
            ids,
            ration,
            cold,
            last_event,
        })
}

fn config(seed: u64, cases: u32) -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..ProptestConfig::with_cases(cases)
    }
}

proptest! {
    #![proptest_config(config(51, 300))]

    #[test]
    fn what_is_written_is_read(content in content()) {
        let h = handover(content);
        let encoded = encode(&h).expect("small");
        prop_assert_eq!(encoded.ids_left_out, 0);
        prop_assert_eq!(decode(&encoded.bytes, &me()), Ok(h));
    }

    #[test]
    fn garbage_is_refused_and_panics_nowhere(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        prop_assert!(decode(&bytes, &me()).is_err());
    }

    /// A body of any bytes under a right head, as a faulty build might write it, is read or refused.
    #[test]
    fn any_body_under_a_right_checksum_panics_nowhere(body in prop::collection::vec(any::<u8>(), 0..200)) {
        let mut bytes = encode(&handover(Content::default())).expect("small").bytes[..8].to_vec();
        bytes.extend_from_slice(&(body.len() as u32).to_le_bytes());
        let crc = crc32fast::hash(&[&bytes[4..12], &body[..]].concat());
        bytes.extend_from_slice(&crc.to_le_bytes());
        bytes.extend_from_slice(&body);
        if let Err(refusal) = decode(&bytes, &me()) {
            prop_assert!(!matches!(refusal, Refusal::Damaged(_)), "{:?}", refusal);
        }
    }
}

proptest! {
    #![proptest_config(config(52, 6))]

    #[test]
    fn every_flipped_bit_and_every_cut_is_refused_as_damage(content in content()) {
        let bytes = encode(&handover(content)).expect("small").bytes;
        for len in 0..bytes.len() {
            prop_assert!(matches!(decode(&bytes[..len], &me()), Err(Refusal::Damaged(_))), "cut at {}", len);
        }
        let mut flipped = bytes;
        for bit in 0..flipped.len() * 8 {
            flipped[bit / 8] ^= 1 << (bit % 8);
            prop_assert!(matches!(decode(&flipped, &me()), Err(Refusal::Damaged(_))), "bit {}", bit);
            flipped[bit / 8] ^= 1 << (bit % 8);
        }
        flipped.push(0);
        prop_assert!(matches!(decode(&flipped, &me()), Err(Refusal::Damaged(_))), "one byte more");
    }
}

/// Whatever the bounds of bans let in fits into a file, and hashes take what is left.
#[test]
fn the_fullest_content_fits() {
    let limits = CordonLimits::default();
    let now = Timestamp::from_micros(1_700_000_000_000_000);
    let mut o = CordonState::new(limits);
    let permits = (u64::MAX - limits.max_cordons as u64..).take(limits.max_cordons);
    let id_bytes = limits.max_cordon_id_bytes / limits.max_cordons;
    for (i, permit) in permits.enumerate() {
        let id = format!("{i:0id_bytes$}");
        o.note_listed(&id);
        let hold = CordonRequest::Fleet { permit, lease_expires_at: now + TimeDelta::from_micros(1) };
        o.cordon(now, &Target::Engine(id), hold, &"w".repeat(MAX_REASON_BYTES)).expect("within the bounds");
    }
    // The leases end: as many words that hold nothing as are kept, and then as many bans again.
    o.expire(now + TimeDelta::from_micros(2));
    for i in 0..limits.max_cordons {
        let hold = CordonRequest::Fleet {
            permit: u64::MAX,
            lease_expires_at: now + TimeDelta::from_micros(80_000_000_000),
        };
        let target = Target::Engine(format!("{i:0id_bytes$}"));
        o.cordon(now + TimeDelta::from_micros(3), &target, hold, &"w".repeat(MAX_REASON_BYTES))
            .expect("within the bounds");
    }
    (0..limits.max_known_ids).for_each(|i| o.note_listed(&format!("s-{i}")));
    let full = CordonSizes {
        active_cordons: limits.max_cordons,
        tombstones: limits.max_tombstones,
        known_ids: limits.max_known_ids,
    };
    assert_eq!(o.sizes(), full);
    let cold = |i: usize| ColdSends {
        engine: format!("{i:0MAX_ENGINE_ID_BYTES$}"),
        buckets: vec![ColdBucket { at: now, work_ms: u32::MAX }; 18],
    };
    let h = handover(Content {
        bans: o.export_records(),
        ids: o.export_known_ids(usize::MAX),
        ration: vec![RationBucket { at: now, further: u32::MAX, taken: u32::MAX }; BUCKETS_MOST],
        cold: (0..COLD_MOST).map(cold).collect(),
        last_event: u64::MAX,
    });
    let encoded = encode(&h).expect("fits");
    assert!(
        encoded.bytes.len() <= FILE_MOST && encoded.bytes.len() > FILE_MOST - 32,
        "{}",
        encoded.bytes.len()
    );
    let read = decode(&encoded.bytes, &me()).expect("read");
    assert_eq!(read.content.bans, h.content.bans);
    let kept = limits.max_known_ids - encoded.ids_left_out;
    assert!(kept > 1_000 && read.content.ids == h.content.ids[..kept], "the first {kept} ids");
}

/// A whole file with a ban that no call could make is refused, by field and rule: nothing of it is taken.
#[test]
fn a_ban_that_no_call_could_make_is_named() {
    let word = sprucelink_cordon::CordonEntry {
        version: 1,
        cordoned: true,
        lease_expires_at: None,
        changed_at: Timestamp::from_micros(1),
        reason: String::new(),
    };
    let ban = |id: &str| sprucelink_cordon::CordonRecord {
        target: Target::Engine(id.into()),
        cause: Cause::Operator,
        entry: word.clone(),
    };
    let bytes = encode(&handover(Content { bans: vec![ban("e"), ban("")], ..Content::default() }));
    let refused = decode(&bytes.expect("small").bytes, &me());
    assert!(
        matches!(&refused, Err(Refusal::Invalid(what)) if what.starts_with("bans.1.target")),
        "{refused:?}"
    );
}

#[test]
fn what_does_not_fit_is_refused_with_its_length() {
    let long = ColdSends { engine: "x".repeat(FILE_MOST), buckets: Vec::new() };
    let refused = encode(&handover(Content { cold: vec![long], ..Content::default() }));
    assert!(matches!(refused, Err(Refusal::TooLarge { bytes }) if bytes > FILE_MOST));
}
