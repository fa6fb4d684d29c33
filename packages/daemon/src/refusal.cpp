#include "refusal.h"

#include <nlohmann/json.hpp>

namespace gypsumstep::daemon {
namespace {

struct refusal_text {
    const char* sqlstate;
    const char* name;
    const char* message;
    const char* hint;
};

refusal_text text_of(refusal kind)
{
    switch (kind) {
    case refusal::not_run:
        return {"GS001", "not_run", "the statement was not run", "It is safe to send it again."};
    case refusal::outcome_unknown:
        return {"GS002", "outcome_unknown", "the statement was sent and its outcome is unknown",
                "Send it again with the same gypsumstep.request_key to learn the outcome."};
    case refusal::already_run:
        return {"GS003", "already_run", "a statement with this request key has already run", ""};
    case refusal::invalid_setting:
        return {"GS004", "invalid_setting", "a gypsumstep setting is invalid", ""};
    case refusal::position_ahead:
        return {"GS005", "position_ahead",
                "no server within reach has the position of the session token",
                "The statement was not run."};
    }
    return {"XX000", "internal", "internal error", ""};
}

} // namespace

pgwire::error_fields make_refusal(refusal kind, const std::string& reason)
{
    const refusal_text text = text_of(kind);
    const nlohmann::json detail{{"outcome", text.name}, {"reason", reason}};
    return {"ERROR", text.sqlstate, text.message, detail.dump(), text.hint};
}

} // namespace gypsumstep::daemon
