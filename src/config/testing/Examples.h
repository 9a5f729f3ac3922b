// Gives tests access to the example files in src/config/examples.
#ifndef AMARANTHSPUR_CONFIG_TESTING_EXAMPLES_H
#define AMARANTHSPUR_CONFIG_TESTING_EXAMPLES_H

#include "config/AnswersJson.h"

#include <fstream>
#include <iterator>
#include <string>

namespace amaranthspur::config {

/// Returns the JSON text of the example \p Name.
inline std::string exampleText(const std::string &Name) {
  std::ifstream File(EXAMPLES_FOLDER "/" + Name + ".json");
  return {std::istreambuf_iterator<char>(File), {}};
}

/// Returns the parsed answers of the example \p Name.
inline Questionnaire example(const std::string &Name) {
  return parseAnswers(exampleText(Name)).Answers;
}

} // namespace amaranthspur::config

#endif // AMARANTHSPUR_CONFIG_TESTING_EXAMPLES_H
