// Defines the commands that query or control running instances: show, status,
// dump and drain. Each prints to the standard streams and blocks until it is
// done or its time limit has passed.
#ifndef CTL_INSTANCE_COMMANDS_H_
#define CTL_INSTANCE_COMMANDS_H_

#include "ctl/arguments.h"
#include "ctl/exit_code.h"

namespace anvilloom {

exit_code ShowAccepted(const ctl_arguments& arguments);
exit_code PrintStatus(const ctl_arguments& arguments);
exit_code DumpInstance(const ctl_arguments& arguments);
exit_code DrainInstance(const ctl_arguments& arguments);

}  // namespace anvilloom

#endif  // CTL_INSTANCE_COMMANDS_H_
