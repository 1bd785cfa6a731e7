//! Formats PostgreSQL's dates and timestamps as text.

/// Days from 1970-01-01 to 2000-01-01, the epoch of PostgreSQL's dates.
const EPOCH_DAYS: i64 = 10_957;
/// Days from 0000-03-01, the epoch of the algorithm, to 1970-01-01.
const CIVIL_EPOCH_DAYS: i64 = 719_468;
/// Days in 400 years.
const ERA_DAYS: i64 = 146_097;
/// Microseconds in a day.
const DAY_MICROS: i64 = 86_400_000_000;

/// Formats a day in the Gregorian calendar, counted from 2000-01-01 (Howard Hinnant, "chrono-Compatible
/// Low-Level Date Algorithms", `civil_from_days`).
pub(super) fn format_date(days: i64) -> String {
    let days = days + EPOCH_DAYS + CIVIL_EPOCH_DAYS;
    let era = days.div_euclid(ERA_DAYS);
    let day_of_era = days.rem_euclid(ERA_DAYS);
    let year_of_era = (day_of_era - day_of_era / 1_460 + day_of_era / 36_524 - day_of_era / 146_096) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let month_from_march = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * month_from_march + 2) / 5 + 1;
    let month = if month_from_march < 10 { month_from_march + 3 } else { month_from_march - 9 };
    let year = year_of_era + era * 400 + i64::from(month <= 2);
    if year > 0 {
        format!("{year:04}-{month:02}-{day:02}")
    } else {
        format!("{:04}-{month:02}-{day:02} BC", 1 - year)
    }
}

/// Formats a timestamp, counted in microseconds from 2000-01-01; `zone` is its offset from UTC as text.
pub(super) fn format_timestamp(micros: i64, zone: &str) -> String {
    let date = format_date(micros.div_euclid(DAY_MICROS));
    let micros_of_day = micros.rem_euclid(DAY_MICROS);
    let seconds = micros_of_day / 1_000_000;
    let fraction = micros_of_day % 1_000_000;
    let time_of_day =
        format!("{:02}:{:02}:{:02}.{fraction:06}", seconds / 3600, seconds / 60 % 60, seconds % 60);
    match date.strip_suffix(" BC") {
        Some(date) => format!("{date} {time_of_day}{zone} BC"),
        None => format!("{date} {time_of_day}{zone}"),
    }
}
