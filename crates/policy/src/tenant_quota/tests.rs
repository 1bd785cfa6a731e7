use super::{QuotaUse, TenantQuotas};
use crate::settings::TenantSettings;
use sprucelink_time::Timestamp;

const QUOTAS: [TenantSettings; 2] =
    [TenantSettings { quota_per_s: 10.0 }, TenantSettings { quota_per_s: 100.0 }];

fn count_within_quota(
    quotas: &mut TenantQuotas,
    now: Timestamp,
    tenant: usize,
    managers: f64,
    requests: u32,
) -> usize {
    let quota_uses = (0..requests).map(|_| quotas.take(now, tenant, &QUOTAS, managers));
    quota_uses.filter(|quota_use| *quota_use == QuotaUse::WithinQuota).count()
}

#[test]
fn burst_of_one_second_or_six_requests_is_within_quota() {
    let mut quotas = TenantQuotas::new(QUOTAS.len());
    let now = Timestamp::from_millis(100_000);
    assert_eq!(count_within_quota(&mut quotas, now, 0, 1.0, 50), 10);
    assert_eq!(
        count_within_quota(&mut quotas, now, 1, 50.0, 50),
        6,
        "two per second for each of 50 managers"
    );
}

#[test]
fn quota_is_divided_among_managers_and_refills() {
    let mut quotas = TenantQuotas::new(QUOTAS.len());
    let start = Timestamp::from_millis(100_000);
    count_within_quota(&mut quotas, start, 1, 5.0, 50);
    assert_eq!(count_within_quota(&mut quotas, start, 1, 5.0, 50), 0, "the bucket is empty");
    let later = Timestamp::from_millis(100_500);
    assert_eq!(count_within_quota(&mut quotas, later, 1, 5.0, 50), 10, "twenty per second for half a second");
}

#[test]
fn tenant_without_settings_has_no_quota() {
    let mut quotas = TenantQuotas::new(QUOTAS.len());
    assert_eq!(count_within_quota(&mut quotas, Timestamp::ZERO, 2, 1.0, 50), 50);
}
