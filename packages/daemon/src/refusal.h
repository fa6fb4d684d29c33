/// \file
/// Errors that the proxy itself reports to callers.
#pragma once

#include "gypsumstep/pgwire/backend.h"

#include <string>

namespace gypsumstep::daemon {

/// Kinds of refusal; each has an SQLSTATE of its own.
enum class refusal {
    not_run,         ///< GS001: it did not run and may be sent again
    outcome_unknown, ///< GS002: it may have run; ask by its request key
    already_run,     ///< GS003: its request key has run before
    invalid_setting, ///< GS004: a gypsumstep setting or token is malformed
    position_ahead,  ///< GS005: no server has reached the token; it did not run
};

/// The ErrorResponse fields of a refusal: SQLSTATE, message and a detail in JSON.
[[nodiscard]] pgwire::error_fields make_refusal(refusal kind, const std::string& reason);

} // namespace gypsumstep::daemon
