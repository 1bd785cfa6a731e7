use super::ProbeCredit;

#[test]
fn requests_earn_probes_by_the_probe_price_up_to_four_samples() {
    let mut credit = ProbeCredit::default();
    credit.earn(0.01);
    assert_eq!(credit.probes, 1.0, "a hundredth of the value at a price of a hundredth per probe");
    credit.earn(0.0);
    assert_eq!(credit.probes, 3.0, "a request earns at most one sample of two engines");
    (0..10).for_each(|_| credit.earn(0.0));
    assert_eq!(credit.probes, 8.0);
    credit.spend(2);
    assert_eq!(credit.probes, 6.0);
}
