/// \file
/// Typed errors, returned in a Boost.Outcome result. No exception crosses a package's API.
#pragma once

#include <boost/outcome/result.hpp>

#include <string>

namespace gypsumstep {

/// The kind of a failure.
enum class error_code {
    invalid_argument, ///< the input is malformed
    not_found,        ///< the named object does not exist
    conflict,         ///< a compare-and-set found another version than expected
    unavailable,      ///< the peer cannot be reached or is not serving
    timeout,          ///< no answer in time; the operation may or may not have taken effect
    refused,          ///< the request was understood and rejected without being run
    internal,         ///< a defect of this program
};

/// The name of a code as it appears in logs.
[[nodiscard]] const char* to_string(error_code code);

/// A failure with a human-readable message.
struct error {
    error_code code{error_code::internal};
    std::string message;

    friend bool operator==(const error&, const error&) = default;
};

/// Either a value or an error.
template <class T>
using result = boost::outcome_v2::result<T, error, boost::outcome_v2::policy::all_narrow>;

} // namespace gypsumstep
