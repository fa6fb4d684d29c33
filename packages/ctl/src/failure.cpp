#include "gypsumstep/ctl/exchange.h"
#include "gypsumstep/ctl/render.h"

namespace gypsumstep::ctl {

namespace {

constexpr int first_error_status = 400;
constexpr int first_server_error_status = 500;
constexpr int service_unavailable = 503; // the daemon's word for "not done"

failure without_answer(const request& sent, const answer& got)
{
    if (got.how == delivery::unreachable) {
        return {exit_code::unreachable, "the daemon cannot be reached: " + got.problem};
    }
    if (sent.verb == method::get) {
        return {exit_code::unreachable, "the daemon did not answer: " + got.problem};
    }
    return {exit_code::unknown, "outcome unknown: no answer came (" + got.problem + ")"};
}

} // namespace

std::optional<failure> failure_of(const request& sent, const answer& got)
{
    if (got.how != delivery::answered) {
        return without_answer(sent, got);
    }
    if (got.http_status < first_error_status) {
        return std::nullopt;
    }
    const auto body = nlohmann::json::parse(got.body, nullptr, false);
    std::string text = render_error(body);
    if (text.empty()) {
        text = "the daemon answered with HTTP status " + std::to_string(got.http_status);
    }
    const bool may_be_done = sent.verb == method::post &&
                             got.http_status >= first_server_error_status &&
                             got.http_status != service_unavailable;
    if (may_be_done) {
        return failure{exit_code::unknown, "outcome unknown: " + text};
    }
    return failure{exit_code::refused, "refused: " + text};
}

} // namespace gypsumstep::ctl
