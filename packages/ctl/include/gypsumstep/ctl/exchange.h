/// \file
/// One request to a daemon's operator endpoint and what came of it.
#pragma once

#include "gypsumstep/base/time.h"
#include "gypsumstep/ctl/command.h"

#include <nlohmann/json.hpp>

#include <concepts>
#include <string>

namespace gypsumstep::ctl {

/// Whether a request changes anything.
enum class method { get, post };

/// A request; the transport adds the address and the key.
struct request {
    method verb{method::get};
    std::string path;    ///< e.g. "/v1/status"
    nlohmann::json body; ///< of a post
    duration patience{}; ///< how long the daemon may take at least, whatever the timeout
};

/// How an exchange ended.
enum class delivery {
    answered,    ///< an HTTP answer came
    unreachable, ///< the request was not sent
    lost,        ///< the request may have been sent, and no answer came
};

/// The answer to a request.
struct answer {
    delivery how{delivery::unreachable};
    int http_status{0};
    std::string body;
    std::string problem; ///< why there is no answer, for people
};

/// Carries requests to a daemon.
template <class T>
concept transport = requires(T& carrier, const request& message, duration length)
{
    {
        carrier.send(message)
        } -> std::same_as<answer>;
    {
        carrier.pause(length)
        } -> std::same_as<void>;
};

/// What a failed exchange means: an exit code and the text for people.
struct failure {
    exit_code code{exit_code::refused};
    std::string text;
};

/// The failure that \p got stands for; nothing if it is a success.
[[nodiscard]] std::optional<failure> failure_of(const request& sent, const answer& got);

} // namespace gypsumstep::ctl
