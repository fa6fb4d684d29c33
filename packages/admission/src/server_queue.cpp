#include "gypsumstep/admission/server_queue.h"

namespace gypsumstep::admission {

template class basic_server_queue<ranked_scheduler>;

} // namespace gypsumstep::admission
