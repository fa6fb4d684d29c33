// Reads that leave the region of this daemon because its own servers have too much work.
#include "gypsumstep/proxy/proxy.h"

#include <algorithm>

namespace gypsumstep::proxy {

bool proxy::is_established(const backend_server& server) const
{
    return std::any_of(server.connections.begin(), server.connections.end(),
                       [&](server_connection_id id) {
                           return m_connections.at(id)->phase != detail::connection_phase::opening;
                       });
}

dispatch::far_server proxy::far_server_of(const backend_server& server, bool needs_connection,
                                          time_point now)
{
    dispatch::far_server made;
    made.response_time = server.response_time.expected(now);
    made.steady_time = server.response_time.steady();
    made.quiet_time = server.response_time.quiet();
    made.measured_at = server.response_time.measured_at();
    made.in_flight = server.running;
    made.needs_connection = needs_connection;
    return made;
}

bool proxy::may_leave_region(database_group& group, const backend_server& server, const task& work,
                             std::span<const dispatch::candidate> own, bool needs_connection,
                             time_point now)
{
    const auto load = dispatch::own_load_of(own, now - work.arrived, group.reads_ahead);
    if (!m_options.adapts_to_uneven_servers || !load || work.route.target_latency == duration{0}) {
        return true;
    }
    // A connection of another client account is not closed for a read that could stay.
    if (needs_connection && server.connections.size() >= server.connection_limit) {
        return false;
    }
    const bool may_leave = group.locality.may_leave(
        *load, far_server_of(server, needs_connection, now), work.route.target_latency, now);
    report_leaving(group, server.entry.name, dispatch::expected_at_home(*load));
    return may_leave;
}

void proxy::report_leaving(database_group& group, const std::string& server, duration at_home)
{
    if (group.locality.is_leaving() == group.reported_leaving) {
        return;
    }
    group.reported_leaving = group.locality.is_leaving();
    if (!group.reported_leaving) {
        log_decision(importance::notice, "reads stay in their region again", "",
                     {{"service", group.service}, {"waiting", std::to_string(group.queue.size())}});
        return;
    }
    log_decision(importance::notice, "sending reads to another region", "",
                 {{"service", group.service},
                  {"server", server},
                  {"expected_at_home_us", std::to_string(at_home.count())},
                  {"waiting", std::to_string(group.queue.size())}});
}

} // namespace gypsumstep::proxy
