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

/// The error's code for programs, by its HTTP status.
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

json describe(const findings& problems)
{
    json list = json::array();
    for (const finding& each : problems) {
        list.push_back({{"line", each.place.line},
                        {"column", each.place.column},
                        {"path", each.path},
                        {"message", each.message}});
    }
    return list;
}

} // namespace

QHttpServerResponse respond(status_code code, const json& body)
{
    return {"application/json", QByteArray::fromStdString(body.dump()), code};
}

QHttpServerResponse refuse(status_code code, const std::string& text)
{
    return respond(code, error_body(error_name(code), text));
}

std::function<void(QHttpServerResponse)> make_reply(QHttpServerResponder&& responder)
{
    auto shared = std::make_shared<QHttpServerResponder>(std::move(responder));
    return [shared](const QHttpServerResponse& response) {
        shared->write(response.data(), response.mimeType(), response.statusCode());
    };
}

QHttpServerResponse describe_outcome(const config::submission_outcome& outcome)
{
    using config::submission_status;
    json body{{"version", outcome.version.value()}};
    switch (outcome.status) {
    case submission_status::accepted:
        return respond(status_code::Ok, body);
    case submission_status::stale:
        body.update(error_body("stale_base", "the base is not the version in force"));
        for (const config::change_record& each : outcome.since) {
            body["changes"].push_back(config::to_json(each));
        }
        return respond(status_code::Conflict, body);
    case submission_status::invalid:
        body.update(error_body("invalid", outcome.message));
        body["findings"] = describe(outcome.problems);
        return respond(status_code::UnprocessableEntity, body);
    case submission_status::unavailable:
        return refuse(status_code::ServiceUnavailable, "not done: " + outcome.message);
    case submission_status::unknown:
        break;
    }
    return refuse(status_code::GatewayTimeout, outcome.message);
}

} // namespace gypsumstep::daemon
