/// \file
/// What a daemon says about itself and the fleet.
#pragma once

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace gypsumstep::ctl {

/// A backend server of a group; "-" stands for what the daemon does not know.
struct server_view {
    std::string name;
    std::string state;
    std::string applied;
    std::optional<double> lag_ms;
};

/// A database group.
struct group_view {
    std::string name;
    std::string term;
    std::string primary;
    std::vector<server_view> servers;
};

/// Another daemon.
struct peer_view {
    std::string address;
    std::string state;
};

/// Something that an operator should look at.
struct alarm_view {
    std::string code;
    std::string text;
};

/// The whole answer of GET /v1/status.
struct status_view {
    std::string daemon_name;
    std::string failure_domain;
    std::string program_version;
    std::string config_version;
    std::optional<double> confirmed_ms_ago;
    std::vector<group_view> groups;
    std::vector<peer_view> peers;
    std::vector<alarm_view> alarms;
};

/// Reads a status. What is absent or of another type is left out, so that an older
/// gypsumstepctl still shows what it understands of a newer daemon.
[[nodiscard]] status_view read_status(const nlohmann::json& source);

} // namespace gypsumstep::ctl
