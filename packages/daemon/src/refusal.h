/// \file
/// Errors that the proxy itself reports to clients.
#pragma once

#include "gypsumstep/pgwire/backend.h"

#include <string>

namespace gypsumstep::daemon {

/// Kinds of refusal; each has its own SQLSTATE.
enum class refusal {
    not_run,         ///< GS001: the statement did not run and can be sent again
    outcome_unknown, ///< GS002: the statement may have run; its request key tells
    already_run,     ///< GS003: a statement with its request key has run already
    invalid_setting, ///< GS004: a gypsumstep setting or token is malformed
    position_ahead,  ///< GS005: no server has reached the token's position; not run
};

/// Returns the ErrorResponse fields of a refusal: SQLSTATE, message and a detail in JSON.
[[nodiscard]] pgwire::error_fields make_refusal(refusal kind, const std::string& reason);

} // namespace gypsumstep::daemon
