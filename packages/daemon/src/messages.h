/// \file
/// Messages between the threads of a daemon, and the channels that carry them.
#pragma once

#include "gypsumstep/backend/work.h"
#include "gypsumstep/base/ids.h"
#include "gypsumstep/base/position.h"
#include "gypsumstep/base/rank.h"
#include "gypsumstep/base/time.h"
#include "gypsumstep/routing/choose_server.h"
#include "gypsumstep/runtime/channel.h"

#include <optional>
#include <string>

namespace gypsumstep::daemon {

/// Identifies a server connection that a home reserves for one session's open
/// transaction; 0 means none.
using binding_id = strong_value<struct binding_tag>;

/// Asks the home to run one statement on one backend server.
struct execute_request {
    request_id id;
    server_id server;
    binding_id binding; ///< connection of the session's open transaction, if any
    rank priority{rank::last};
    client_account_id client_account;
    bool is_write{true};
    std::string request_key;
    std::optional<log_position> at_least; ///< a read must include this position
    time_point deadline{};
    backend::work work;
};

/// Ends a session's binding; the server rolls its transaction back.
struct release_request {
    server_id server;
    binding_id binding;
};

/// Outcome of a request.
enum class execute_outcome {
    answered,    ///< the server answered completely
    not_run,     ///< the statement did not run
    behind,      ///< the server has not applied the required position; the rows were discarded
    unknown,     ///< the statement was sent and may have run
    already_run, ///< the group already stores its request key
};

/// The answer to an execute_request.
struct execute_answer {
    request_id id;
    server_id server;
    execute_outcome outcome{execute_outcome::not_run};
    backend::work_answer answer;
    binding_id binding; ///< set while a transaction is open
    std::optional<log_position> observed;
    std::optional<duration> retry_after; ///< set by an overloaded server
    std::string reason;                  ///< why the statement was not answered; human-readable
};

using request_channel = runtime::channel<execute_request>;
using release_channel = runtime::channel<release_request>;
using answer_channel = runtime::channel<execute_answer>;
using view_channel = runtime::channel<routing::group_view>;

/// The channels between the client listener and the home.
struct listener_home_channels {
    static constexpr std::size_t request_capacity = 16'384;
    static constexpr std::size_t view_capacity = 4'096;

    request_channel requests{request_capacity};
    release_channel releases{request_capacity};
    answer_channel answers{request_capacity};
    view_channel views{view_capacity};
};

} // namespace gypsumstep::daemon
