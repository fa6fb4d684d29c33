#include "gypsumstep/ctl/status_view.h"

#include "json_access.h"

namespace gypsumstep::ctl {

namespace {

using detail::member;
using detail::number;
using detail::text;
using nlohmann::json;

template <class T, class F>
std::vector<T> read_each(const json& source, F read)
{
    std::vector<T> result;
    if (source.is_array()) {
        for (const json& one : source) {
            result.push_back(read(one));
        }
    }
    return result;
}

server_view read_server(const json& source)
{
    return {text(source, "name"), text(source, "state"), text(source, "applied"),
            number(source, "lag_ms")};
}

group_view read_group(const json& source)
{
    return {text(source, "name"), text(source, "term"), text(source, "primary"),
            read_each<server_view>(member(source, "servers"), read_server)};
}

peer_view read_peer(const json& source)
{
    return {text(source, "address"), text(source, "state")};
}

alarm_view read_alarm(const json& source)
{
    return {text(source, "code"), text(source, "text")};
}

} // namespace

status_view read_status(const json& source)
{
    const json& daemon = member(source, "daemon");
    const json& config = member(source, "config");
    status_view result;
    result.daemon_name = text(daemon, "name");
    result.failure_domain = text(daemon, "failure_domain");
    result.program_version = text(daemon, "version");
    result.config_version = text(config, "version");
    result.confirmed_ms_ago = number(config, "confirmed_ms_ago");
    result.groups = read_each<group_view>(member(source, "groups"), read_group);
    result.peers = read_each<peer_view>(member(source, "peers"), read_peer);
    result.alarms = read_each<alarm_view>(member(source, "alarms"), read_alarm);
    return result;
}

} // namespace gypsumstep::ctl
