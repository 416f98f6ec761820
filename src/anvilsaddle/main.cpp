#include "Tool.h"

#include <iostream>

int main(int ArgumentCount, char **Arguments) {
  return anvilsaddle::runTool(ArgumentCount, Arguments, std::cout, std::cerr);
}
