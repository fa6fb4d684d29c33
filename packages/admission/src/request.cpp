#include "gypsumstep/admission/request.h"

namespace gypsumstep::admission {

const char* to_string(refusal_reason reason)
{
    switch (reason) {
    case refusal_reason::queue_full:
        return "queue_full";
    case refusal_reason::deadline:
        return "deadline";
    case refusal_reason::expired:
        return "expired";
    case refusal_reason::not_accepting:
        return "not_accepting";
    }
    return "unknown";
}

} // namespace gypsumstep::admission
