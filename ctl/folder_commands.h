// Defines the commands that work on a folder of configuration files: check and
// publish. Both print to the standard streams and block until they are done.
#ifndef CTL_FOLDER_COMMANDS_H_
#define CTL_FOLDER_COMMANDS_H_

#include "ctl/arguments.h"
#include "ctl/exit_code.h"

namespace anvilloom {

exit_code CheckFolder(const ctl_arguments& arguments);
exit_code PublishFolder(const ctl_arguments& arguments);

}  // namespace anvilloom

#endif  // CTL_FOLDER_COMMANDS_H_
