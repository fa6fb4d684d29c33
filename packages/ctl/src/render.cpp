#include "gypsumstep/ctl/render.h"

#include "json_access.h"
#include "text_table.h"

#include <array>
#include <cmath>
#include <ctime>

namespace gypsumstep::ctl {

namespace {

using detail::member;
using detail::text;
using detail::text_of;
using detail::text_table;
using nlohmann::json;

constexpr double milliseconds_per_second = 1000.0;
constexpr double latest_time_ms = 253'402'300'799'000.0; // the end of the year 9999

/// "140 ms" below a second, "2.5 s" above.
std::string duration_text(std::optional<double> milliseconds)
{
    if (!milliseconds) {
        return detail::absent;
    }
    if (*milliseconds < milliseconds_per_second) {
        return std::to_string(std::llround(*milliseconds)) + " ms";
    }
    const auto tenths = std::llround(*milliseconds / milliseconds_per_second * 10.0);
    return std::to_string(tenths / 10) + "." + std::to_string(tenths % 10) + " s";
}

/// The time of a change in UTC, to the second.
std::string when_text(const json& change)
{
    const auto milliseconds = detail::number(change, "time_ms");
    if (!milliseconds || std::abs(*milliseconds) > latest_time_ms) {
        return detail::absent;
    }
    const auto seconds = static_cast<std::time_t>(*milliseconds / milliseconds_per_second);
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    constexpr std::size_t longest_time = 32;
    std::array<char, longest_time> buffer{};
    const std::size_t length =
        std::strftime(buffer.data(), buffer.size(), "%Y-%m-%d %H:%M:%SZ", &parts);
    return {buffer.data(), length};
}

std::string alarms_text(const status_view& status)
{
    if (status.alarms.empty()) {
        return "no alarms\n";
    }
    std::string result;
    for (const alarm_view& one : status.alarms) {
        result += "ALARM " + one.code + ": " + one.text + "\n";
    }
    return result;
}

std::string groups_text(const status_view& status)
{
    text_table table{{"GROUP", "TERM", "SERVER", "ROLE", "STATE", "APPLIED", "LAG"}};
    for (const group_view& group : status.groups) {
        for (const server_view& server : group.servers) {
            const char* role = server.name == group.primary ? "primary" : "replica";
            table.add({group.name, group.term, server.name, role, server.state, server.applied,
                       duration_text(server.lag_ms)});
        }
    }
    return table.text();
}

std::string peers_text(const status_view& status)
{
    text_table table{{"PEER", "STATE"}};
    for (const peer_view& one : status.peers) {
        table.add({one.address, one.state});
    }
    return table.text();
}

/// Puts an empty line between blocks that are not empty.
std::string join_blocks(const std::vector<std::string>& blocks)
{
    std::string result;
    for (const std::string& block : blocks) {
        if (!block.empty()) {
            result += (result.empty() ? "" : "\n") + block;
        }
    }
    return result;
}

std::string findings_text(const json& findings)
{
    std::string result;
    if (findings.is_array()) {
        for (const json& one : findings) {
            result += "\n  " + text(one, "line") + ":" + text(one, "column") + ": " +
                      text(one, "path") + ": " + text(one, "message");
        }
    }
    return result;
}

std::string changes_text(const json& changes)
{
    std::string result;
    if (changes.is_array()) {
        for (const json& one : changes) {
            result += "\n  version " + text(one, "version") + " by " + text(one, "author") + ": " +
                      text(one, "reason");
            const json& content = member(one, "content");
            result += content.is_null() ? "" : "\n    " + content.dump();
        }
    }
    return result;
}

} // namespace

std::string render_status(const status_view& status)
{
    const std::string head = "daemon " + status.daemon_name + " in " + status.failure_domain +
                             ", gypsumstep " + status.program_version + "\nconfiguration version " +
                             status.config_version + ", confirmed " +
                             duration_text(status.confirmed_ms_ago) + " ago\n";
    return join_blocks({alarms_text(status), head, groups_text(status), peers_text(status)});
}

std::string render_config(const json& config)
{
    text_table servers{{"GROUP", "SERVICE", "AUTOMATION", "SERVER", "ENDPOINT", "DOMAIN", "SLOTS",
                        "CONNECTIONS", "LEAVING"}};
    for (const auto& [group_name, group] : member(config, "groups").items()) {
        const bool is_automatic = member(group, "automation") != false;
        for (const auto& [name, server] : member(group, "servers").items()) {
            servers.add({group_name, text(group, "service"), is_automatic ? "on" : "frozen", name,
                         text(server, "address") + ":" + text(server, "port"),
                         text(server, "domain"), text(server, "slots"), text(server, "connections"),
                         member(server, "leaving") == true ? "yes" : "no"});
        }
    }
    text_table ranks{{"RANK", "TARGET", "OBJECTIVE", "SLOT FLOOR", "QUEUE LIMIT"}};
    for (const char* name : {"urgent", "next", "last"}) {
        const json& rank = member(member(config, "ranks"), name);
        if (rank.is_object()) {
            ranks.add({name, text(rank, "target_ms") + " ms", text(rank, "objective"),
                       text(rank, "slot_floor"), text(rank, "queue_limit")});
        }
    }
    const std::string head = "version " + text(config, "version") + "\n";
    return join_blocks({head, servers.text(), ranks.text()});
}

std::string render_history(const json& history)
{
    text_table table{{"VERSION", "WHEN", "WHO", "WHY"}};
    const json& versions = member(history, "versions");
    if (versions.is_array()) {
        for (const json& one : versions) {
            table.add(
                {text(one, "version"), when_text(one), text(one, "author"), text(one, "reason")});
        }
    }
    const std::string result = table.text();
    return result.empty() ? "no versions\n" : result;
}

std::string render_report(const json& report)
{
    text_table table{{"RANK", "TARGET", "OBJECTIVE", "GOOD", "ALL", "BURN 1H", "BURN 6H"}};
    const json& ranks = member(report, "ranks");
    if (ranks.is_array()) {
        for (const json& one : ranks) {
            table.add({text(one, "rank"), text(one, "target_ms") + " ms", text(one, "objective"),
                       text(one, "good"), text(one, "total"), text(one, "burn_1h"),
                       text(one, "burn_6h")});
        }
    }
    const std::string result = table.text();
    return result.empty() ? "nothing measured yet\n" : result;
}

std::string render_difference(const json& from, const json& to)
{
    std::string result;
    for (const json& change : json::diff(from, to)) {
        const auto operation = change.at("op").get<std::string>();
        const auto path = change.at("path").get<std::string>();
        result.append(operation).append(" ").append(path).append(":");
        if (operation != "add") {
            result.append(" ").append(from.at(json::json_pointer{path}).dump());
        }
        if (operation == "replace") {
            result.append(" ->");
        }
        if (operation != "remove") {
            result.append(" ").append(change.at("value").dump());
        }
        result.append("\n");
    }
    return result;
}

std::string render_result(const json& answer)
{
    std::string result;
    if (answer.is_object()) {
        for (const auto& [key, value] : answer.items()) {
            result += key + ": " + text_of(value) + "\n";
        }
    }
    return result.empty() ? "done\n" : result;
}

std::string render_error(const json& answer)
{
    const json& problem = member(answer, "error");
    if (problem.is_null()) {
        return {};
    }
    std::string result = problem.is_object() ? text(problem, "message") : text_of(problem);
    if (answer.contains("version")) {
        result += "\nversion in force: " + text(answer, "version");
    }
    const std::string changes = changes_text(member(answer, "changes"));
    result += changes.empty() ? "" : "\nchanged since the base:" + changes;
    return result + findings_text(member(answer, "findings"));
}

} // namespace gypsumstep::ctl
