/// \file
/// The bodies of the operator endpoint's replies.
#pragma once

#include "gypsumstep/base/finding.h"
#include "gypsumstep/config/submission.h"

#include <nlohmann/json.hpp>

#include <QHttpServerResponder>
#include <QHttpServerResponse>

#include <functional>
#include <string>

namespace gypsumstep::daemon {

using status_code = QHttpServerResponder::StatusCode;

/// A reply with a JSON body.
[[nodiscard]] QHttpServerResponse json_response(status_code code, const nlohmann::json& body);

/// An error that says why for people and, by the status, for programs.
[[nodiscard]] QHttpServerResponse error_response(status_code code, const std::string& text);

/// How the submission of a patch ended.
[[nodiscard]] QHttpServerResponse outcome_response(const config::submission_outcome& outcome);

/// A reply that may be sent after the route's handler has returned.
[[nodiscard]] std::function<void(QHttpServerResponse)> make_reply(QHttpServerResponder&& responder);

} // namespace gypsumstep::daemon
