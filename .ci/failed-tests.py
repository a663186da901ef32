"""Prints the tests that failed in the surefire reports of all modules, one a line as class.method."""

import glob
import sys
import xml.etree.ElementTree as ElementTree

reports = glob.glob("*/target/surefire-reports/TEST-*.xml")
if not reports:
    sys.exit("no test report found")
failed = set()
for report in reports:
    for case in ElementTree.parse(report).getroot().iter("testcase"):
        if case.find("failure") is not None or case.find("error") is not None:
            method = case.get("name").split("(")[0].split("{")[0].split("[")[0]
            failed.add(case.get("classname") + "." + method)
print("\n".join(sorted(failed)))
