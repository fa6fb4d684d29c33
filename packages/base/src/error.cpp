#include "gypsumstep/base/error.h"

namespace gypsumstep {

const char* to_string(error_code code)
{
    switch (code) {
    case error_code::invalid_argument:
        return "invalid_argument";
    case error_code::not_found:
        return "not_found";
    case error_code::conflict:
        return "conflict";
    case error_code::unavailable:
        return "unavailable";
    case error_code::timeout:
        return "timeout";
    case error_code::refused:
        return "refused";
    case error_code::internal:
        return "internal";
    }
    return "internal";
}

} // namespace gypsumstep
