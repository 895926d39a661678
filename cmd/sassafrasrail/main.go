// Command sassafrasrail schedules requests for unlike engines.
package main

func main() {}
