// The example answers that `init` prints.
#ifndef AMARANTHSPUR_CTL_EXAMPLES_H
#define AMARANTHSPUR_CTL_EXAMPLES_H

#include <optional>
#include <string>
#include <string_view>

namespace amaranthspur::ctl {

/// Returns the file src/config/examples/NAME.json, which is built into the
/// program, or nothing if there is none of that name.
std::optional<std::string> exampleAnswers(std::string_view Name);

} // namespace amaranthspur::ctl

#endif // AMARANTHSPUR_CTL_EXAMPLES_H
