#include "store_reader.h"

#include "boot_clock.h"

#include "gypsumstep/logging/logging.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace gypsumstep::edge {
namespace {

/// How long the store is asked to hold a feed request until something changes. With the time for
/// the answer, it limits how long a connection that went silent hides a new configuration:
/// keep-alive probes do not show it while something on the way still acknowledges them.
constexpr duration feed_wait = 2500ms;

/// Time beyond feed_wait for the answer to arrive.
constexpr duration feed_answer_margin = 1500ms;

/// Timeout of one read of the store, which answers within milliseconds unless it has problems.
constexpr duration read_timeout = 1500ms;

/// First and usual longest backoff after a failure. The actual delay is random, so that the daemons
/// do not all retry at the same time.
constexpr duration first_backoff = 100ms;
constexpr duration usual_max_backoff = 1s;

/// Longest delay of the lists after the store went back; random, so that the daemons do not all
/// read them at the same time. The configuration is read at once.
constexpr duration longest_restart_delay = 250ms;

const logging::logger& log()
{
    static const logging::logger instance{"store"};
    return instance;
}

std::chrono::milliseconds to_milliseconds(duration interval)
{
    return std::chrono::ceil<std::chrono::milliseconds>(interval);
}

} // namespace

store_reader::store_reader(
    const adapter::endpoint& store, store_era& era, std::uint64_t seed,
    std::function<void(store_subject, const adapter::stored_rows&)> rows_read)
    : m_rows_read{std::move(rows_read)}, m_random{seed}, m_feed_client{store.host, store.port,
                                                                       &era},
      m_read_client{store.host, store.port, &era}, m_max_backoff{usual_max_backoff}
{
    m_configuration_timer.setSingleShot(true);
    connect(&m_configuration_timer, &QTimer::timeout, this, [this] { read_configuration(); });
    for (const store_subject list : {store_subject::servers, store_subject::daemons}) {
        QTimer& timer = m_lists.at(index_of(list)).timer;
        timer.setSingleShot(true);
        connect(&timer, &QTimer::timeout, this, [this, list] { read_list(list); });
    }
}

void store_reader::set_active(bool active)
{
    if (active == m_active) {
        return;
    }
    m_active = active;
    m_failing_since.reset();
    ++m_feed_run;
    if (!active) {
        m_feed_client.cancel();
        m_configuration_timer.stop();
        for (list_state& list : m_lists) {
            list.timer.stop();
        }
        return;
    }
    m_configuration_backoff = duration{0};
    read_configuration();
    for (const store_subject list : {store_subject::servers, store_subject::daemons}) {
        list_state& state = m_lists.at(index_of(list));
        state.backoff = duration{0};
        const duration age = state.read_at ? boot_now() - *state.read_at : duration::max();
        if (age < state.interval) {
            schedule(list, state.interval - age);
        }
        else {
            read_list(list);
        }
    }
}

void store_reader::read_soon(store_subject list, duration delay)
{
    list_state& state = m_lists.at(index_of(list));
    if (state.reading) {
        state.again_after = delay;
    }
    else if (!state.timer.isActive() ||
             state.timer.remainingTimeAsDuration() > to_milliseconds(delay)) {
        schedule(list, delay);
    }
}

void store_reader::set_interval(store_subject list, duration interval)
{
    list_state& state = m_lists.at(index_of(list));
    const bool is_shorter = interval < state.interval;
    state.interval = interval;
    if (m_active && is_shorter && state.timer.isActive() && state.backoff == duration{0} &&
        state.timer.remainingTimeAsDuration() > to_milliseconds(interval)) {
        schedule(list, interval);
    }
}

void store_reader::read_now(store_subject subject)
{
    if (subject != store_subject::configuration) {
        read_list(subject);
        return;
    }
    if (m_reading_configuration) {
        return;
    }
    m_reading_configuration = true;
    const time_point asked_at = boot_now();
    m_read_client.call(
        adapter::read_configuration(), read_timeout, [this, asked_at](const auto& response) {
            m_reading_configuration = false;
            const auto rows = response.has_error() ? result<adapter::stored_rows>{response.error()}
                                                   : adapter::decode_rows(response.value());
            if (rows.has_error()) {
                on_failure(rows.error().message, asked_at);
                return;
            }
            on_success();
            m_rows_read(store_subject::configuration, rows.value());
        });
}

std::size_t store_reader::restart()
{
    const std::size_t dropped = m_feed_client.cancel() + m_read_client.cancel();
    ++m_feed_run;
    m_version = 0;
    m_history_gone = false;
    m_configuration_backoff = duration{0};
    m_configuration_timer.stop();
    for (const store_subject list : {store_subject::servers, store_subject::daemons}) {
        list_state& state = m_lists.at(index_of(list));
        const bool was_reading = std::exchange(state.reading, false);
        state.backoff = duration{0};
        state.read_at.reset();
        state.again_after.reset();
        if (m_active) {
            schedule(list, m_random.between(duration{0}, longest_restart_delay));
        }
        else if (was_reading) {
            read_list(list);
        }
    }
    const bool was_reading_configuration = std::exchange(m_reading_configuration, false);
    if (m_active) {
        read_configuration();
    }
    else if (was_reading_configuration) {
        read_now(store_subject::configuration);
    }
    return dropped;
}

duration store_reader::failing_for(time_point now) const
{
    return m_failing_since ? now - *m_failing_since : duration{0};
}

void store_reader::read_configuration()
{
    const time_point asked_at = boot_now();
    m_feed_client.call(adapter::read_configuration(), read_timeout,
                       [this, asked_at, run = m_feed_run](const auto& response) {
                           if (run == m_feed_run) {
                               on_configuration(response, false, asked_at);
                           }
                       });
}

void store_reader::await_configuration_change()
{
    m_feed_client.call(adapter::await_configuration(m_version, feed_wait),
                       feed_wait + feed_answer_margin,
                       [this, run = m_feed_run](const auto& response) {
                           if (run == m_feed_run) {
                               on_configuration(response, true, boot_now());
                           }
                       });
}

void store_reader::on_configuration(const result<adapter::http_response>& response, bool is_feed,
                                    time_point asked_at)
{
    const auto rows = response.has_error() ? result<adapter::stored_rows>{response.error()}
                                           : adapter::decode_rows(response.value());
    if (rows.has_error()) {
        const bool history_gone = is_feed && rows.error().code == error_code::not_found;
        // A store that has gone back without telling an era refuses the position that follows from
        // the full reading, too, if that was answered before.
        const bool again = std::exchange(m_history_gone, history_gone);
        if (history_gone) {
            log().info("the store does not have the feed's position; reading the configuration",
                       {{"position", m_version}});
            m_version = 0;
        }
        else {
            on_failure(rows.error().message, asked_at);
        }
        if (!history_gone || again) {
            m_configuration_backoff = next_backoff(m_configuration_backoff);
        }
        const duration delay =
            history_gone && !again
                ? duration{0}
                : m_random.between(m_configuration_backoff / 2, m_configuration_backoff);
        m_configuration_timer.start(to_milliseconds(delay));
        return;
    }
    on_success();
    if (is_feed || !m_history_gone) {
        m_history_gone = false;
        m_configuration_backoff = duration{0};
    }
    m_version = std::max(m_version, rows.value().moment.version);
    m_rows_read(store_subject::configuration, rows.value());
    if (m_active) {
        await_configuration_change();
    }
}

void store_reader::read_list(store_subject list)
{
    list_state& state = m_lists.at(index_of(list));
    if (state.reading) {
        return;
    }
    state.reading = true;
    state.started_at = boot_now();
    state.rows = {};
    read_page(list, {});
}

void store_reader::read_page(store_subject list, const std::optional<std::string>& page_start)
{
    auto request = list == store_subject::servers ? adapter::read_servers(page_start)
                                                  : adapter::read_announcements(page_start);
    m_read_client.call(std::move(request), read_timeout,
                       [this, list](const auto& response) { on_page(list, response); });
}

void store_reader::on_page(store_subject list, const result<adapter::http_response>& response)
{
    list_state& state = m_lists.at(index_of(list));
    auto page = response.has_error() ? result<adapter::stored_rows>{response.error()}
                                     : adapter::decode_rows(response.value());
    if (page.has_error()) {
        state.reading = false;
        on_failure(page.error().message, state.started_at);
        state.backoff = next_backoff(state.backoff);
        schedule(list, m_random.between(state.backoff / 2, state.backoff));
        return;
    }
    adapter::stored_rows& read = page.value();
    std::move(read.rows.begin(), read.rows.end(), std::back_inserter(state.rows.rows));
    // The list is as old as its first page.
    if (state.rows.moment == adapter::store_moment{}) {
        state.rows.moment = read.moment;
    }
    if (read.next) {
        read_page(list, read.next);
        return;
    }
    state.reading = false;
    state.backoff = duration{0};
    state.read_at = state.started_at;
    on_success();
    const adapter::stored_rows rows = std::move(state.rows);
    m_rows_read(list, rows);
    const duration next = std::exchange(state.again_after, std::nullopt).value_or(state.interval);
    schedule(list, m_random.between(next * 9 / 10, next));
}

void store_reader::schedule(store_subject list, duration delay)
{
    if (m_active) {
        m_lists.at(index_of(list)).timer.start(to_milliseconds(delay));
    }
}

duration store_reader::next_backoff(duration previous) const
{
    return previous == duration{0} ? first_backoff : std::min(previous * 2, m_max_backoff);
}

void store_reader::on_success()
{
    if (m_failing_since) {
        m_failing_since.reset();
        log().info("the store answers again");
    }
}

void store_reader::on_failure(const std::string& cause, time_point asked_at)
{
    if (!m_failing_since) {
        m_failing_since = asked_at;
        log().warn("lost the store; going on with the last known data", {{"cause", cause}});
    }
}

} // namespace gypsumstep::edge
