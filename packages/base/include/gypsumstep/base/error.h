/// \file
/// Typed errors, carried by Boost.Outcome; no exception crosses a package's API.
#pragma once

#include <boost/outcome/result.hpp>

#include <string>

namespace gypsumstep {

/// What kind of failure occurred.
enum class error_code {
    invalid_argument, ///< the caller's input is malformed
    not_found,        ///< the named thing does not exist
    conflict,         ///< a compare-and-set met another version
    unavailable,      ///< the other side cannot be reached or is not serving
    timeout,          ///< no answer in time; whether it took effect is unknown
    refused,          ///< understood, and not done
    internal,         ///< a defect of this program
};

/// The code's name as it appears in logs.
[[nodiscard]] const char* to_string(error_code code);

/// A failure with a message for people.
struct error {
    error_code code{error_code::internal};
    std::string message;

    friend bool operator==(const error&, const error&) = default;
};

/// Either a value or an error.
template <class T>
using result = boost::outcome_v2::result<T, error, boost::outcome_v2::policy::all_narrow>;

} // namespace gypsumstep
