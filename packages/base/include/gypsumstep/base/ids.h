/// \file
/// Identifiers shared by all packages.
#pragma once

#include "gypsumstep/base/strong_value.h"

namespace gypsumstep {

/// A group: one primary and its replicas. Numbered by the configuration.
using group_id = strong_value<struct group_tag, std::uint32_t>;

/// A backend server, unique over all groups. Numbered by the configuration.
using server_id = strong_value<struct server_tag, std::uint32_t>;

/// A failure domain. Numbered by the configuration.
using domain_id = strong_value<struct domain_tag, std::uint16_t>;

/// One run of a daemon process. A restarted daemon has a new id.
using daemon_id = strong_value<struct daemon_tag, std::uint64_t>;

/// A client session, unique within the daemon that accepted it.
using session_id = strong_value<struct session_tag, std::uint64_t>;

/// One request, unique within the daemon that issued it.
using request_id = strong_value<struct request_tag, std::uint64_t>;

/// A client account: a customer on whose behalf clients send statements. Requests of one rank
/// are scheduled fairly between client accounts.
using client_account_id = strong_value<struct client_account_tag, std::uint32_t>;

/// A version of the configuration. Versions only increase.
using config_version = strong_value<struct config_version_tag, std::uint64_t>;

} // namespace gypsumstep
