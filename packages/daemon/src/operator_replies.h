/// \file
/// The responses of the operator endpoint.
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

/// Returns a response with a JSON body.
[[nodiscard]] QHttpServerResponse json_response(status_code code, const nlohmann::json& body);

/// Returns an error response: \p text is for people; the error code for programs follows
/// from the status.
[[nodiscard]] QHttpServerResponse error_response(status_code code, const std::string& text);

/// Returns the response that reports the outcome of a submitted patch.
[[nodiscard]] QHttpServerResponse outcome_response(const config::submission_outcome& outcome);

/// Returns a function that sends the response, also after the route's handler has returned.
[[nodiscard]] std::function<void(QHttpServerResponse)> make_reply(QHttpServerResponder&& responder);

} // namespace gypsumstep::daemon
