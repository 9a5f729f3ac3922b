// The example answers that the command `init` prints.
#ifndef AMARANTHSPUR_CTL_EXAMPLES_H
#define AMARANTHSPUR_CTL_EXAMPLES_H

#include <optional>
#include <string>
#include <string_view>

namespace amaranthspur::ctl {

/// Returns the text of src/config/examples/NAME.json, which is compiled into
/// the program, or std::nullopt if there is no example \p Name.
std::optional<std::string> exampleAnswers(std::string_view Name);

} // namespace amaranthspur::ctl

#endif // AMARANTHSPUR_CTL_EXAMPLES_H
