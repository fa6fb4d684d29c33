#include "store_view.h"

#include "boot_clock.h"

#include "gypsumstep/logging/logging.h"
#include "gypsumstep/relay/reader_order.h"

#include <algorithm>
#include <set>
#include <utility>

namespace gypsumstep::edge {
namespace {

/// Interval between readings of the registrations while nothing is wrong. Where each daemon reads
/// them for itself, it grows with their number within these limits, because store calls cost money.
/// Two of these intervals are short enough to leave a draining server in time.
constexpr duration shared_interval = 3s;
constexpr duration own_interval_per_daemon = 45ms;
constexpr duration min_own_interval = 2s;
constexpr duration max_own_interval = 4s;

/// Intervals while a server's registration is missing, and while a group has no primary.
constexpr duration missing_server_interval = 1s;
constexpr duration urgent_interval = 300ms;

/// Interval of a daemon that serves no group. It reads the registrations at once when a session
/// is forwarded to it.
constexpr duration idle_interval = 30s;

/// Interval between readings of the daemons' announcements: for a while after the first one, since
/// other daemons may be starting, and later, of readers and of daemons that read for themselves.
constexpr duration starting_list_interval = 3s;
constexpr duration starting_time = 5s;
constexpr duration shared_list_interval = 10s;
constexpr duration own_list_interval = 30s;

/// At the first start of all daemons, the time for the others to announce themselves.
constexpr std::chrono::milliseconds bootstrap_wait{1000};

/// The announcements are passed on at least this often, so that each daemon sees that its own one
/// is renewed.
constexpr duration max_list_age = 25s;

/// Longest backoff after failed calls, of readers and of daemons that others can do without.
constexpr duration reader_max_backoff = 1s;
constexpr duration other_max_backoff = 4s;

/// How long a daemon that serves no group gets the registrations after a session was forwarded to
/// it.
constexpr duration servers_wanted_for = 5s;

/// After the store went back, time within which the servers have written their registrations
/// again, and within which the daemons have announced themselves again and these lists were read.
constexpr duration servers_settle_time = 2500ms;
constexpr duration daemons_settle_time = 5s;

constexpr duration min_reload_interval = 500ms;

/// Backoff before the first list of daemons is asked for again.
constexpr duration first_list_backoff = 500ms;

const logging::logger& log()
{
    static const logging::logger instance{"store"};
    return instance;
}

homes::daemon_entry entry_of(const adapter::node_settings& settings)
{
    return {settings.name, settings.domain, settings.clients.host, settings.forwarding_port,
            settings.capacity};
}

/// Readers listen on the port after the one for forwarded sessions.
std::uint16_t relay_port_of(const homes::daemon_entry& daemon)
{
    return static_cast<std::uint16_t>(daemon.port + 1);
}

} // namespace

store_view::store_view(const adapter::node_settings& settings, store_clock& clock, store_era& era,
                       std::uint64_t seed, connection_guard& guard, store_events events)
    : m_self{entry_of(settings)}, m_is_bootstrap{settings.is_bootstrap}, m_clock{clock}, m_era{era},
      m_events{std::move(events)}, m_reader{settings.store, era, seed,
                                            [this](store_subject subject,
                                                   const adapter::stored_rows& rows) {
                                                if (subject == store_subject::configuration) {
                                                    m_confirmed_at = boot_now();
                                                }
                                                on_rows(subject, rows);
                                            }},
      m_relay_server{{
                         [this] { update_intervals(); },
                         [this] {
                             const time_point now = boot_now();
                             return relay_status{failing_for(now), m_clock.now(), m_era.current(),
                                                 now - m_confirmed_at};
                         },
                     },
                     guard},
      m_relay_client{m_self,
                     {
                         [this](const std::string& reader, const relay_message& message) {
                             on_relay_message(reader, message);
                         },
                         [this](const std::string& reader) {
                             m_choice.on_lost(reader, boot_now());
                             follow(m_choice.choose(boot_now()));
                         },
                     }},
      m_choice{settings.name}, m_relay_port{settings.relay_port}
{
    m_bootstrap_timer.setSingleShot(true);
    connect(&m_bootstrap_timer, &QTimer::timeout, this,
            [this] { m_reader.read_now(store_subject::daemons); });
    m_era.add_listener([this](dropped_state& dropped) { on_store_rolled_back(dropped); });
}

void store_view::on_store_rolled_back(dropped_state& dropped)
{
    for (std::uint64_t& version : m_versions) {
        dropped.readings += version == 0 ? 0 : 1;
        version = 0;
    }
    m_rolled_back = true;
    m_rolled_back_at = boot_now();
    m_first_version.reset();
    m_servers_before = m_servers_in_use;
    m_announcements_before = m_announcements;
    m_relay_server.on_store_rolled_back();
    dropped.calls += m_reader.restart();
}

bool store_view::accept(store_subject subject, const adapter::store_moment& moment)
{
    // Without an era, a reader may not know it yet, which tells nothing about the store.
    if (moment.era != 0 && !m_era.observe(moment.era)) {
        return false;
    }
    std::uint64_t& newest = m_versions.at(index_of(subject));
    if (moment.version < newest) {
        return false;
    }
    newest = moment.version;
    m_first_version = m_first_version.value_or(moment.version);
    return true;
}

bool store_view::start()
{
    if (m_relay_port != 0 && !m_relay_server.listen(m_self.host, m_relay_port)) {
        log().error("cannot listen for daemons that take the store's contents from this one",
                    {{"port", static_cast<std::uint64_t>(m_relay_port)}});
        return false;
    }
    // The list of daemons comes first: it tells who reads the store.
    m_next_first_read = boot_now() + first_list_backoff;
    m_reader.read_now(store_subject::daemons);
    return true;
}

void store_view::on_tick(time_point now)
{
    if (m_lists_read == 0) {
        // Whether other calls succeed says nothing about this list.
        if (now >= m_next_first_read) {
            m_next_first_read = now + first_list_backoff;
            m_reader.read_now(store_subject::daemons);
        }
        return;
    }
    if (m_bootstrap_timer.isActive()) {
        return;
    }
    m_choice.on_own_calls(m_reader.failing_for(now));
    follow(m_choice.choose(now));
    update_intervals();
}

void store_view::follow(const relay::source& source)
{
    if (source.reader != m_relay_client.reader()) {
        m_upstream.reset();
        const auto reader = source.reader ? m_readers.find(*source.reader) : m_readers.end();
        if (reader == m_readers.end()) {
            m_relay_client.unsubscribe();
        }
        else {
            m_upstream_at = boot_now();
            m_relay_client.subscribe(reader->second, relay_port_of(reader->second));
            if (m_relay_client.reader() != source.reader) {
                return; // the connection failed at once, and another source was chosen
            }
        }
    }
    if (source.reads_store != m_reader.is_active()) {
        log().info(source.reads_store ? "reads the store"
                                      : "takes the store's contents from a daemon",
                   {{"daemon", source.reader.value_or("")}});
        m_reader.set_active(source.reads_store);
    }
}

void store_view::update_intervals()
{
    const time_point now = boot_now();
    const proxy::listing_urgency needed = urgency(now);
    m_relay_client.set_urgency(needed);
    const bool shares = !m_readers.empty();
    duration interval = idle_interval;
    switch (needed) {
    case proxy::listing_urgency::urgent:
        interval = urgent_interval;
        break;
    case proxy::listing_urgency::soon:
        interval = missing_server_interval;
        break;
    case proxy::listing_urgency::normal:
        interval =
            shares ? shared_interval
                   : std::clamp(own_interval_per_daemon * static_cast<std::int64_t>(m_daemon_count),
                                min_own_interval, max_own_interval);
        break;
    case proxy::listing_urgency::none:
        break;
    }
    m_reader.set_interval(store_subject::servers, interval);
    const bool is_starting = now - m_first_list_at < starting_time ||
                             (m_rolled_back && now - m_rolled_back_at < daemons_settle_time);
    m_reader.set_interval(store_subject::daemons, is_starting ? starting_list_interval
                                                  : shares    ? shared_list_interval
                                                              : own_list_interval);
    m_reader.set_max_backoff(!shares || m_choice.is_reader() ? reader_max_backoff
                                                             : other_max_backoff);
}

proxy::listing_urgency store_view::urgency(time_point now) const
{
    const auto wanted = now < m_servers_wanted_until ? proxy::listing_urgency::normal
                                                     : proxy::listing_urgency::none;
    return std::max(
        {m_events.server_listing_urgency(), m_relay_server.server_listing_urgency(), wanted});
}

duration store_view::failing_for(time_point now) const
{
    if (m_reader.is_active()) {
        return m_reader.failing_for(now);
    }
    // What a reader upstream said, and how long ago.
    return (m_upstream ? m_upstream->failing_for : duration{0}) +
           (now - m_upstream_at >= relay::source_choice::silence_limit ? now - m_upstream_at
                                                                       : duration{0});
}

void store_view::on_rows(store_subject subject, const adapter::stored_rows& rows)
{
    if (!accept(subject, rows.moment)) {
        return;
    }
    m_clock.set(rows.moment.now);
    bool changed = false;
    switch (subject) {
    case store_subject::configuration:
        if (rows.rows.empty()) {
            return; // the feed answered that nothing has changed
        }
        changed = apply_configuration(rows);
        break;
    case store_subject::servers:
        changed = apply_servers(rows);
        break;
    case store_subject::daemons:
        changed = apply_daemons(rows);
        break;
    }
    m_relay_server.publish(subject, rows, changed);
    update_intervals();
}

bool store_view::apply_configuration(const adapter::stored_rows& rows)
{
    auto read = adapter::configuration_of(rows);
    if (read.has_error()) {
        report_malformed(store_subject::configuration, {read.error().message});
        return false;
    }
    if (!read.value()) {
        return false;
    }
    if (m_configuration && read.value()->version < *m_configuration) {
        log().info(
            "the store holds an older configuration than the one in force, which stays",
            {{"in_force", m_configuration->value()}, {"in_store", read.value()->version.value()}});
        return false;
    }
    const bool changed = m_configuration != read.value()->version;
    m_configuration = read.value()->version;
    m_events.configuration_read(std::move(*read.value()));
    return changed;
}

bool store_view::apply_servers(const adapter::stored_rows& rows)
{
    adapter::server_rows read = adapter::servers_of(rows);
    report_malformed(store_subject::servers, read.malformed);
    const bool changed = read.servers != m_servers;
    m_servers = std::move(read.servers);
    m_server_versions.clear();
    for (const adapter::stored_row& row : rows.rows) {
        m_server_versions.emplace(row.key, row.version);
    }
    pass_on_servers();
    return changed;
}

void store_view::pass_on_servers()
{
    if (!m_rolled_back || boot_now() - m_rolled_back_at >= servers_settle_time) {
        m_servers_in_use = m_servers;
    }
    else {
        // A row of the copy may name a former primary, or a server that is gone.
        const auto is_written_again = [this](const directory::server_entry& entry) {
            const auto version = m_server_versions.find(entry.name);
            return version != m_server_versions.end() && version->second > m_first_version;
        };
        m_servers_in_use.clear();
        std::set<std::string> names;
        for (const directory::server_entry& entry : m_servers) {
            if (is_written_again(entry)) {
                names.insert(entry.name);
                m_servers_in_use.push_back(entry);
            }
        }
        for (const directory::server_entry& entry : m_servers_before) {
            if (!names.contains(entry.name)) {
                m_servers_in_use.push_back(entry);
            }
        }
    }
    m_events.servers_read(m_servers_in_use);
}

bool store_view::apply_daemons(const adapter::stored_rows& rows)
{
    const adapter::announcement_rows read = adapter::announcements_of(rows);
    report_malformed(store_subject::daemons, read.malformed);
    std::vector<homes::daemon_entry> daemons;
    daemons.reserve(read.announcements.size());
    for (const homes::announcement& announcement : read.announcements) {
        daemons.push_back(announcement.daemon);
    }
    const time_point now = boot_now();
    const bool changed = daemons != m_daemons || now - m_daemons_passed_on_at >= max_list_age;
    if (changed) {
        m_daemons = std::move(daemons);
        m_daemons_passed_on_at = now;
    }
    set_daemons(read.announcements);
    return changed;
}

void store_view::set_daemons(std::vector<homes::announcement> listed)
{
    std::vector<homes::announcement> carried;
    if (m_rolled_back && boot_now() - m_rolled_back_at < daemons_settle_time) {
        std::set<std::string> names;
        for (const homes::announcement& announcement : listed) {
            names.insert(announcement.daemon.name);
        }
        for (const homes::announcement& announcement : m_announcements_before) {
            if (!names.contains(announcement.daemon.name)) {
                carried.push_back(announcement);
            }
        }
    }
    if (++m_lists_read == 1) {
        m_first_list_at = boot_now();
    }
    m_events.daemons_read(listed, carried);
    m_announcements = std::move(listed);
    m_announcements.insert(m_announcements.end(), carried.begin(), carried.end());
    std::vector<homes::daemon_entry> daemons;
    for (const homes::announcement& announcement : m_announcements) {
        if (!homes::is_expired(announcement, m_clock.now())) {
            daemons.push_back(announcement.daemon);
        }
    }
    m_daemon_count = daemons.size();
    m_readers.clear();
    std::vector<std::string> names;
    if (m_relay_port != 0) {
        for (const homes::daemon_entry& reader : relay::readers_of(m_self.domain, daemons)) {
            names.push_back(reader.name);
            m_readers.emplace(reader.name, reader);
        }
    }
    const time_point now = boot_now();
    m_choice.set_readers(std::move(names), now,
                         relay::places_for(m_self.name, m_self.domain, daemons));
    if (m_is_bootstrap && m_lists_read == 1 && m_readers.empty()) {
        m_bootstrap_timer.start(bootstrap_wait);
        return;
    }
    follow(m_choice.choose(now));
}

void store_view::on_relay_message(const std::string& reader, const relay_message& message)
{
    const time_point now = boot_now();
    if (const auto* status = std::get_if<relay_status>(&message)) {
        if (status->era != 0 && !m_era.observe(status->era)) {
            return;
        }
        m_upstream = *status;
        m_upstream_at = now;
        m_clock.set(status->store_clock);
        m_confirmed_at = std::max(m_confirmed_at, now - status->confirmed_ago);
        m_choice.on_message(reader, status->failing_for, now - status->confirmed_ago, now);
        return;
    }
    m_upstream_at = now;
    m_choice.on_message(reader, m_upstream ? m_upstream->failing_for : duration{0}, time_point{},
                        now);
    if (const auto* read = std::get_if<relay_rows>(&message)) {
        on_rows(read->subject, read->rows);
    }
    else if (const auto* again = std::get_if<relay_unchanged>(&message)) {
        if (accept(again->subject, again->moment) && again->subject == store_subject::servers) {
            pass_on_servers();
        }
    }
    else {
        log().warn("ignored a message that is for readers", {{"daemon", reader}});
    }
}

void store_view::read_servers_now()
{
    m_servers_wanted_until = boot_now() + servers_wanted_for;
    if (m_reader.is_active() || !m_relay_client.reader()) {
        m_reader.read_now(store_subject::servers);
    }
    update_intervals();
}

void store_view::refresh_servers()
{
    m_servers_wanted_until = boot_now() + servers_wanted_for;
    if (m_reader.is_active()) {
        m_reader.read_soon(store_subject::servers, urgent_interval / 2);
    }
    update_intervals();
}

void store_view::reload()
{
    const time_point now = boot_now();
    if (now - m_reloaded_at >= min_reload_interval) {
        m_reloaded_at = now;
        m_reader.read_now(store_subject::configuration);
    }
}

void store_view::begin_shutdown()
{
    m_relay_server.close();
}

void store_view::report_malformed(store_subject subject, const std::vector<std::string>& rows)
{
    std::vector<std::string>& reported = m_reported.at(index_of(subject));
    if (rows == reported) {
        return;
    }
    reported = rows;
    for (const std::string& row : rows) {
        log().warn("ignored a malformed row of the store", {{"entry", row}});
    }
}

} // namespace gypsumstep::edge
