//! Tests of encoding and decoding state files, including those of earlier releases and invalid ones.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use sprucelink_cordon::{
    Cause, CordonEntry, CordonLimits, CordonRecord, CordonRequest, CordonSizes, CordonState, Target,
    MAX_ENGINE_ID_BYTES, MAX_REASON_BYTES, MAX_VERSION,
};
use sprucelink_hot_restart::*;
use sprucelink_request_ids::{RequestIdRecord, MAX_RECORDS};

/// Files written by a release before the fields got their current names. Each line is one phase: `name hex`.
const EARLIER_FILES: &str = include_str!("golden/state-file-v1.txt");

fn instance() -> Instance {
    Instance { name: "n3".into(), listen: "127.0.0.1:7001".into() }
}

fn state_file(snapshot: StateSnapshot) -> StateFile {
    StateFile {
        instance: instance(),
        process: Process {
            generation: 4,
            started_at: Timestamp::from_micros(1_700_000_000_000_000),
            pid: 77,
        },
        build: "sprucelink 0.1.0".into(),
        clock_reference: None,
        written_at: Timestamp::from_micros(1_700_000_009_000_000),
        sequence: 36,
        phase: Phase::ServingBesideSuccessor,
        phase_since: Timestamp::from_micros(1_700_000_008_000_000),
        sharing_peers: vec![Process {
            generation: 5,
            started_at: Timestamp::from_micros(1_700_000_008_500_000),
            pid: 78,
        }],
        snapshot,
    }
}

/// A request id whose request began `age_ms` before the file of [`state_file`] was written.
fn request_id(id: u64, statement_hash: u64, age_ms: u32, is_open: bool) -> RequestIdRecord {
    let written_at = Timestamp::from_micros(1_700_000_009_000_000);
    let started_at = written_at - TimeDelta::from_millis(age_ms.into());
    RequestIdRecord { id, statement_hash, started_at, is_open }
}

/// Request ids, those of open requests first.
fn arbitrary_request_ids() -> impl Strategy<Value = Vec<RequestIdRecord>> {
    let fields = (any::<u64>(), any::<u64>(), any::<u32>());
    (prop::collection::vec(fields, 0..12), 0..12usize).prop_map(|(requests, open_count)| {
        let record = |(index, (id, hash, age_ms))| request_id(id, hash, age_ms, index < open_count);
        requests.into_iter().enumerate().map(record).collect()
    })
}

fn arbitrary_cordon() -> impl Strategy<Value = CordonRecord> {
    let target = prop_oneof![Just(Target::Manager), "[a-z0-9é-]{1,40}".prop_map(Target::Engine)];
    let entry = (any::<bool>(), 0..=MAX_VERSION, any::<i64>(), any::<i64>(), "[ -~]{0,64}");
    (target, prop::option::of(any::<u64>()), entry).prop_map(
        |(target, permit, (cordoned, version, expiry, changed_at, reason))| {
            let has_lease = permit.is_some() && cordoned;
            let entry = CordonEntry {
                version,
                cordoned,
                lease_expires_at: has_lease.then_some(Timestamp::from_micros(expiry)),
                changed_at: Timestamp::from_micros(changed_at),
                reason,
            };
            let cause = permit.map_or(Cause::Operator, |permit| Cause::Fleet { permit });
            CordonRecord { target, cause, entry }
        },
    )
}

fn arbitrary_snapshot() -> impl Strategy<Value = StateSnapshot> {
    let retry_bucket = (any::<i64>(), any::<u32>(), any::<u32>()).prop_map(|(start, retries, admitted)| {
        RetryBudgetBucket { start: Timestamp::from_micros(start), retries, admitted }
    });
    let warmup_bucket = (any::<i64>(), any::<u32>())
        .prop_map(|(start, work_ms)| WarmupBucket { start: Timestamp::from_micros(start), work_ms });
    let warmup_load = ("[a-z]{0,20}", prop::collection::vec(warmup_bucket, 0..MAX_BUCKETS))
        .prop_map(|(engine, buckets)| WarmupLoad { engine, buckets });
    let cancel = (any::<u64>(), any::<u32>(), any::<u32>(), any::<i64>()).prop_map(
        |(sequence, process_id, secret, received_at)| ForwardedCancel {
            sequence,
            process_id,
            secret,
            received_at: Timestamp::from_micros(received_at),
        },
    );
    let feed_change = ("[a-z0-9.:]{0,40}", any::<i64>())
        .prop_map(|(address, at)| FeedChange { address, changed_at: Timestamp::from_micros(at) });
    (
        prop::collection::vec(arbitrary_cordon(), 0..12),
        prop::collection::vec(any::<u64>(), 0..40),
        prop::collection::vec(retry_bucket, 0..MAX_BUCKETS),
        prop::collection::vec(warmup_load, 0..6),
        prop::collection::vec(cancel, 0..MAX_CANCEL_REQUESTS),
        arbitrary_request_ids(),
        prop::option::of(feed_change),
        any::<u64>(),
    )
        .prop_map(
            |(
                cordons,
                known_ids,
                retry_budget,
                warmup,
                cancel_requests,
                request_ids,
                feed_change,
                last_event,
            )| {
                StateSnapshot {
                    cordons,
                    known_ids,
                    retry_budget,
                    warmup,
                    cancel_requests,
                    request_ids,
                    feed_change,
                    last_event,
                }
            },
        )
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
    fn encoded_file_is_decoded_unchanged(snapshot in arbitrary_snapshot()) {
        let file = state_file(snapshot);
        let encoded = encode(&file).expect("small");
        prop_assert_eq!(encoded.ids_left_out, 0);
        prop_assert_eq!(decode(&encoded.bytes, &instance()), Ok(file));
    }

    #[test]
    fn random_bytes_are_rejected_without_panic(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        prop_assert!(decode(&bytes, &instance()).is_err());
    }

    /// A body of any bytes with a valid header, as a faulty build might write it, is decoded or rejected.
    #[test]
    fn any_body_with_a_valid_checksum_causes_no_panic(body in prop::collection::vec(any::<u8>(), 0..200)) {
        let mut bytes = encode(&state_file(StateSnapshot::default())).expect("small").bytes[..8].to_vec();
        bytes.extend_from_slice(&(body.len() as u32).to_le_bytes());
        let crc = crc32fast::hash(&[&bytes[4..12], &body[..]].concat());
        bytes.extend_from_slice(&crc.to_le_bytes());
        bytes.extend_from_slice(&body);
        if let Err(error) = decode(&bytes, &instance()) {
            prop_assert!(!matches!(error, StateFileError::Damaged(_)), "{:?}", error);
        }
    }
}

proptest! {
    #![proptest_config(config(52, 6))]

    #[test]
    fn every_flipped_bit_and_every_truncation_is_rejected_as_damaged(snapshot in arbitrary_snapshot()) {
        let is_damaged =
            |bytes: &[u8]| matches!(decode(bytes, &instance()), Err(StateFileError::Damaged(_)));
        let bytes = encode(&state_file(snapshot)).expect("small").bytes;
        for length in 0..bytes.len() {
            prop_assert!(is_damaged(&bytes[..length]), "truncated at {}", length);
        }
        let mut flipped = bytes;
        for bit in 0..flipped.len() * 8 {
            flipped[bit / 8] ^= 1 << (bit % 8);
            prop_assert!(is_damaged(&flipped), "bit {}", bit);
            flipped[bit / 8] ^= 1 << (bit % 8);
        }
        flipped.push(0);
        prop_assert!(is_damaged(&flipped), "one additional byte");
    }
}

fn earlier_file(name: &str) -> Vec<u8> {
    let line =
        EARLIER_FILES.lines().find(|line| line.split(' ').next() == Some(name)).expect("a line for the name");
    let hex = line.split(' ').nth(1).expect("hex");
    let byte = |index| u8::from_str_radix(&hex[index..index + 2], 16).expect("hex digits");
    (0..hex.len()).step_by(2).map(byte).collect()
}

fn earlier_contents(phase: Phase) -> StateFile {
    let at_micros = |micros: i64| Timestamp::from_micros(1_700_000_000_000_000 + micros);
    let record = |target, cause, version, cordoned, lease: Option<i64>, reason: &str| CordonRecord {
        target,
        cause,
        entry: CordonEntry {
            version,
            cordoned,
            lease_expires_at: lease.map(at_micros),
            changed_at: at_micros(5),
            reason: reason.into(),
        },
    };
    let engine = |id: &str| Target::Engine(id.into());
    let fleet = Cause::Fleet { permit: 9 };
    let warmup_buckets = vec![
        WarmupBucket { start: at_micros(250_000), work_ms: 400 },
        WarmupBucket { start: at_micros(750_000), work_ms: 1 },
    ];
    StateFile {
        phase,
        build: "0.1.0".into(),
        ..state_file(StateSnapshot {
            cordons: vec![
                record(Target::Manager, Cause::Operator, 11, true, None, "swap"),
                record(engine("s-1"), Cause::Operator, 12, false, None, ""),
                record(engine("s-2"), fleet, 13, true, Some(60_000_000), "release é"),
            ],
            known_ids: vec![1, u64::MAX, 3],
            retry_budget: vec![
                RetryBudgetBucket { start: at_micros(250_000), retries: 2, admitted: 30 },
                RetryBudgetBucket { start: at_micros(500_000), retries: 0, admitted: 1 },
            ],
            warmup: vec![WarmupLoad { engine: "s-3".into(), buckets: warmup_buckets }],
            last_event: 1234,
            ..StateSnapshot::default()
        })
    }
}

/// This build decodes an earlier release's file, and encodes the decoded contents to the file's bytes.
#[test]
fn file_of_an_earlier_release_is_decoded_and_encoded_bit_for_bit() {
    let phases = [
        ("starting", Phase::Starting),
        ("ready", Phase::Ready),
        ("serving", Phase::Serving),
        ("accompanied", Phase::ServingBesideSuccessor),
        ("leaving", Phase::Draining),
        ("gone", Phase::Terminated),
    ];
    for (name, phase) in phases {
        let bytes = earlier_file(name);
        let contents = earlier_contents(phase);
        assert_eq!(decode(&bytes, &instance()), Ok(contents.clone()), "{name}");
        assert_eq!(encode(&contents).expect("small").bytes, bytes, "{name}");
    }
}

/// A cordon state with as many cordons, tombstones and known ids as its limits allow.
fn full_cordon_state(limits: CordonLimits, now: Timestamp) -> CordonState {
    let mut state = CordonState::new(limits);
    let micros_later = |micros| now + TimeDelta::from_micros(micros);
    let permits = (u64::MAX - limits.max_cordons as u64..).take(limits.max_cordons);
    let id_bytes = limits.max_cordon_id_bytes / limits.max_cordons;
    let reason = "w".repeat(MAX_REASON_BYTES);
    for (index, permit) in permits.enumerate() {
        let id = format!("{index:0id_bytes$}");
        state.mark_listed(&id);
        let request = CordonRequest::Fleet { permit, lease_expires_at: micros_later(1) };
        state.cordon(now, &Target::Engine(id), request, &reason).expect("within the limits");
    }
    // The leases expire, which leaves the maximum number of tombstones; then the maximum number of cordons is
    // set again.
    state.expire(micros_later(2));
    for index in 0..limits.max_cordons {
        let request =
            CordonRequest::Fleet { permit: u64::MAX, lease_expires_at: micros_later(80_000_000_000) };
        let target = Target::Engine(format!("{index:0id_bytes$}"));
        state.cordon(micros_later(3), &target, request, &reason).expect("within the limits");
    }
    (0..limits.max_known_ids).for_each(|index| state.mark_listed(&format!("s-{index}")));
    state
}

/// All cordons that the limits allow fit into a file, and hashes of ids take the remaining space.
#[test]
fn largest_snapshot_fits_into_a_file() {
    let limits = CordonLimits::default();
    let now = Timestamp::from_micros(1_700_000_000_000_000);
    let cordons = full_cordon_state(limits, now);
    let max_sizes = CordonSizes {
        active_cordons: limits.max_cordons,
        tombstones: limits.max_tombstones,
        known_ids: limits.max_known_ids,
    };
    assert_eq!(cordons.sizes(), max_sizes);
    let warmup_load = |index: usize| WarmupLoad {
        engine: format!("{index:0MAX_ENGINE_ID_BYTES$}"),
        buckets: vec![WarmupBucket { start: now, work_ms: u32::MAX }; 18],
    };
    let retry_bucket = RetryBudgetBucket { start: now, retries: u32::MAX, admitted: u32::MAX };
    let cancel =
        ForwardedCancel { sequence: u64::MAX, process_id: u32::MAX, secret: u32::MAX, received_at: now };
    let file = state_file(StateSnapshot {
        cordons: cordons.export_records(),
        known_ids: cordons.export_known_ids(usize::MAX),
        retry_budget: vec![retry_bucket; MAX_BUCKETS],
        warmup: (0..MAX_WARMING_ENGINES).map(warmup_load).collect(),
        cancel_requests: vec![cancel; MAX_CANCEL_REQUESTS],
        request_ids: vec![request_id(u64::MAX, u64::MAX, u32::MAX, true); MAX_RECORDS],
        feed_change: Some(FeedChange { address: "f".repeat(MAX_NAME_BYTES), changed_at: now }),
        last_event: u64::MAX,
    });
    let encoded = encode(&file).expect("fits");
    let length = encoded.bytes.len();
    assert!(length <= MAX_FILE_BYTES && length > MAX_FILE_BYTES - 32, "{length}");
    let decoded = decode(&encoded.bytes, &instance()).expect("valid");
    assert_eq!(decoded.snapshot.cordons, file.snapshot.cordons);
    assert!(encoded.request_ids_left_out > 0, "cordons and CancelRequests precede request ids");
    let cancels = decoded.snapshot.cancel_requests.len();
    assert!(cancels > 0 && cancels < MAX_CANCEL_REQUESTS, "{cancels} cancel requests");
    let encoded_ids = limits.max_known_ids - encoded.ids_left_out;
    let first_ids = &file.snapshot.known_ids[..encoded_ids];
    assert!(
        encoded_ids > 1_000 && decoded.snapshot.known_ids == first_ids,
        "the first {encoded_ids} ids are encoded"
    );
}

/// All request ids fit into a file beside the most engine ids that the program writes; of the latter, the rest is
/// left out.
#[test]
fn request_ids_fit_beside_engine_ids() {
    let file = state_file(StateSnapshot {
        known_ids: vec![u64::MAX; 16_384],
        request_ids: vec![request_id(u64::MAX, u64::MAX, u32::MAX, true); MAX_RECORDS],
        ..StateSnapshot::default()
    });
    let encoded = encode(&file).expect("fits");
    assert_eq!((encoded.request_ids_left_out, encoded.ids_left_out), (0, 0));
    let decoded = decode(&encoded.bytes, &instance()).expect("valid");
    assert_eq!(decoded.snapshot, file.snapshot);
}

/// A complete file with a cordon that no call to cordon could produce is rejected as a whole; the error names
/// the field and the rule.
#[test]
fn invalid_cordon_is_rejected_with_its_field() {
    let entry = CordonEntry {
        version: 1,
        cordoned: true,
        lease_expires_at: None,
        changed_at: Timestamp::from_micros(1),
        reason: String::new(),
    };
    let record = |id: &str| CordonRecord {
        target: Target::Engine(id.into()),
        cause: Cause::Operator,
        entry: entry.clone(),
    };
    let cordons = vec![record("e"), record("")];
    let encoded = encode(&state_file(StateSnapshot { cordons, ..StateSnapshot::default() }));
    let rejected = decode(&encoded.expect("small").bytes, &instance());
    assert!(
        matches!(&rejected, Err(StateFileError::Invalid(rule)) if rule.to_string().starts_with("bans.1.target")),
        "{rejected:?}"
    );
}

#[test]
fn contents_that_do_not_fit_are_rejected_with_their_length() {
    let too_long = WarmupLoad { engine: "x".repeat(MAX_FILE_BYTES), buckets: Vec::new() };
    let rejected = encode(&state_file(StateSnapshot { warmup: vec![too_long], ..StateSnapshot::default() }));
    assert!(matches!(rejected, Err(StateFileError::TooLarge { bytes }) if bytes > MAX_FILE_BYTES));
}

/// The wall clock is stepped between the starts of writer and reader: times are converted to the reader's
/// clock, except those from before the machine's last boot, and those of builds that write no clock
/// reference.
#[test]
fn times_are_converted_to_the_clock_of_the_reader() {
    let clock = |boot_id: &str, offset_s: i64| ClockReference {
        boot_id: boot_id.into(),
        offset: TimeDelta::from_micros(offset_s * 1_000_000),
    };
    let leased_entry = CordonEntry {
        version: 1,
        cordoned: true,
        lease_expires_at: Some(Timestamp::from_micros(1_700_000_060_000_000)),
        changed_at: Timestamp::from_micros(1_700_000_000_000_000),
        reason: String::new(),
    };
    let cordon = CordonRecord {
        target: Target::Manager,
        cause: Cause::Fleet { permit: 1 },
        entry: leased_entry.clone(),
    };
    let snapshot = StateSnapshot { cordons: vec![cordon], ..StateSnapshot::default() };
    let file = StateFile { clock_reference: Some(clock("a", 1_000)), ..state_file(snapshot) };
    let hour = TimeDelta::from_micros(3_600_000_000);
    let mut decoded = decode(&encode(&file).expect("fits").bytes, &instance()).expect("valid");
    assert_eq!(decoded, file);
    decoded.convert_to_clock(Some(&clock("a", 4_600)));
    assert_eq!((decoded.written_at - file.written_at, decoded.phase_since - file.phase_since), (hour, hour));
    let entry = &decoded.snapshot.cordons[0].entry;
    assert_eq!(entry.lease_expires_at, leased_entry.lease_expires_at.map(|expiry| expiry + hour));
    assert_eq!(decoded.process, file.process, "the start time identifies the process and is not converted");
    for (writer, reader) in [
        (Some(clock("a", 1_000)), Some(clock("b", 4_600))),
        (None, Some(clock("a", 4_600))),
        (Some(clock("a", 1_000)), None),
    ] {
        let mut converted = StateFile { clock_reference: writer, ..file.clone() };
        converted.convert_to_clock(reader.as_ref());
        assert_eq!(converted.written_at, file.written_at);
    }
}
