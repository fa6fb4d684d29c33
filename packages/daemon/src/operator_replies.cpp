#include "operator_replies.h"

#include <memory>
#include <utility>

namespace gypsumstep::daemon {
namespace {

using nlohmann::json;

json error_body(const char* code, const std::string& text)
{
    return {{"error", {{"code", code}, {"message", text}}}};
}

/// Returns the error code for an HTTP status.
const char* error_name(status_code code)
{
    switch (code) {
    case status_code::Unauthorized:
        return "unknown_key";
    case status_code::NotFound:
        return "not_found";
    case status_code::BadRequest:
        return "malformed";
    case status_code::Conflict:
        return "refused";
    case status_code::ServiceUnavailable:
        return "not_done";
    case status_code::NotImplemented:
        return "not_implemented";
    default:
        return "outcome_unknown";
    }
}

json findings_to_json(const findings& problems)
{
    json list = json::array();
    for (const finding& problem : problems) {
        list.push_back({{"line", problem.place.line},
                        {"column", problem.place.column},
                        {"path", problem.path},
                        {"message", problem.message}});
    }
    return list;
}

} // namespace

QHttpServerResponse json_response(status_code code, const json& body)
{
    return {"application/json", QByteArray::fromStdString(body.dump()), code};
}

QHttpServerResponse error_response(status_code code, const std::string& text)
{
    return json_response(code, error_body(error_name(code), text));
}

std::function<void(QHttpServerResponse)> make_reply(QHttpServerResponder&& responder)
{
    auto shared = std::make_shared<QHttpServerResponder>(std::move(responder));
    return [shared](const QHttpServerResponse& response) {
        shared->write(response.data(), response.mimeType(), response.statusCode());
    };
}

QHttpServerResponse outcome_response(const config::submission_outcome& outcome)
{
    using config::submission_status;
    json body{{"version", outcome.version.value()}};
    switch (outcome.status) {
    case submission_status::accepted:
        return json_response(status_code::Ok, body);
    case submission_status::stale:
        body.update(error_body("stale_base", "the base is not the version in force"));
        for (const config::change_record& change : outcome.since) {
            body["changes"].push_back(config::to_json(change));
        }
        return json_response(status_code::Conflict, body);
    case submission_status::invalid:
        body.update(error_body("invalid", outcome.message));
        body["findings"] = findings_to_json(outcome.problems);
        return json_response(status_code::UnprocessableEntity, body);
    case submission_status::unavailable:
        return error_response(status_code::ServiceUnavailable, "not done: " + outcome.message);
    case submission_status::unknown:
        break;
    }
    return error_response(status_code::GatewayTimeout, outcome.message);
}

} // namespace gypsumstep::daemon
