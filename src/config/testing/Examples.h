// The example files, for tests.
#ifndef AMARANTHSPUR_CONFIG_TESTING_EXAMPLES_H
#define AMARANTHSPUR_CONFIG_TESTING_EXAMPLES_H

#include "config/AnswersJson.h"

#include <fstream>
#include <iterator>
#include <string>

namespace amaranthspur::config {

inline std::string exampleText(const std::string &Name) {
  std::ifstream File(EXAMPLES_FOLDER "/" + Name + ".json");
  return {std::istreambuf_iterator<char>(File), {}};
}

inline Questionnaire example(const std::string &Name) {
  return parseAnswers(exampleText(Name)).Answers;
}

} // namespace amaranthspur::config

#endif // AMARANTHSPUR_CONFIG_TESTING_EXAMPLES_H
